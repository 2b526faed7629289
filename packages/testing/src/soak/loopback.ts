/** The loopback address of a run: no two processes share one, so that runs never meet. */

const BYTE = 256;
/** 127.0.0.1 and its neighbours are left to other programs. */
const FIRST_PREFIX = 64;

/** An address of 127.0.0.0/8 that belongs to the process with this id alone. */
function addressOf(pid: number): string {
  const [high, middle, low] = [Math.floor(pid / BYTE / BYTE), Math.floor(pid / BYTE), pid];
  return `127.${FIRST_PREFIX + (high % FIRST_PREFIX)}.${middle % BYTE}.${low % BYTE}`;
}

/** Where this process and its controllers listen. */
export const LOOPBACK = addressOf(process.pid);
