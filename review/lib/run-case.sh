# Sourced by the run.sh of each case: runs case.py beside it. Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
test -x target/cardamomstep || { echo "not run: target/cardamomstep is missing"; exit 2; }
python3 -B "$folder/case.py"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
