"""Check that the daemon's server answers over TLS."""

import dataclasses
import pathlib
import ssl
import tempfile
import unittest

import aiohttp
import trustme

from cardamomcroft.bench import local
from cardamomcroft.daemon import serving
from cardamomcroft.settings import instance
from tests import harness


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Check HTTPS with the certificate that the settings name."""

    async def test_https_is_served_with_the_given_certificate(self):
        authority = trustme.CA()
        issued = authority.issue_cert("127.0.0.1")
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            issued.cert_chain_pems[0].write_to_path(folder / "cert.pem")
            issued.private_key_pem.write_to_path(folder / "key.pem")
            tls = instance.Tls(
                str(folder / "cert.pem"), str(folder / "key.pem")
            )
            cluster = local.LocalCluster(
                {"fleet/dahab": harness.fleet_document(["w1"])},
                1,
                "cardamomcroft",
                instance.Timing(linger_s=0.05),
            )
            settings = dataclasses.replace(cluster.settings[0], tls=tls)
            cluster.servers = [serving.Server(settings)]
            await cluster.start()
            try:
                await cluster.wait_serving()
                status = await self._get_ready(authority, settings)
            finally:
                await cluster.stop()
        self.assertEqual(200, status)

    async def _get_ready(self, authority, settings) -> int:
        context = ssl.create_default_context()
        authority.configure_trust(context)
        url = f"https://{settings.http_listen}/readyz"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, ssl=context) as response,
        ):
            return response.status
