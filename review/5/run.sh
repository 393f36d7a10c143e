#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 110 python3 review/5/case.py
