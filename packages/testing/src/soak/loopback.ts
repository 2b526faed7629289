/** The loopback address of a run. Each process has its own, so that runs don't interfere. */

const BYTE_VALUE_COUNT = 256;
/**
 * Lowest second octet, and how many are in use: 127.64.0.0 to 127.127.255.255. Addresses near
 * 127.0.0.1 are left to other programs.
 */
const SECOND_OCTET_BASE = 64;

/** The address in 127.0.0.0/8 that only the process with this id uses. */
function addressOf(pid: number): string {
  const [high, middle, low] = [
    Math.floor(pid / BYTE_VALUE_COUNT / BYTE_VALUE_COUNT),
    Math.floor(pid / BYTE_VALUE_COUNT),
    pid,
  ];
  return `127.${SECOND_OCTET_BASE + (high % SECOND_OCTET_BASE)}.${middle % BYTE_VALUE_COUNT}.${low % BYTE_VALUE_COUNT}`;
}

/** The address on which this process and its controllers listen. */
export const LOOPBACK = addressOf(process.pid);
