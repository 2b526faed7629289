/** The loopback address of a run: no two processes share one, so that runs never meet. */

const BYTE_VALUE_COUNT = 256;
/** 127.0.0.1 and its neighbours are left to other programs. */
const FIRST_OCTET_INDEX = 64;

/** An address of 127.0.0.0/8 that belongs to the process with this id alone. */
function addressOf(pid: number): string {
  const [high, middle, low] = [
    Math.floor(pid / BYTE_VALUE_COUNT / BYTE_VALUE_COUNT),
    Math.floor(pid / BYTE_VALUE_COUNT),
    pid,
  ];
  return `127.${FIRST_OCTET_INDEX + (high % FIRST_OCTET_INDEX)}.${middle % BYTE_VALUE_COUNT}.${low % BYTE_VALUE_COUNT}`;
}

/** Where this process and its controllers listen. */
export const LOOPBACK = addressOf(process.pid);
