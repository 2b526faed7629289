/** Listening on an address that an earlier process may still hold. */
import type { Server } from 'node:net';
import { splitAddress } from './http-client.js';

const RETRY = 500;
const PATIENCE = 30_000;
const BACKLOG = 511;

/**
 * Listens, and waits for the address while something else still has it: a process that
 * is back at once may find that a connection of its neighbours has taken the port.
 */
export function listen(
  server: Server,
  address: string,
  ready: () => void,
  failed: (error: Error) => void,
): void {
  const { host, port } = splitAddress(address);
  const began = performance.now();
  const attempt = () => server.listen(port, host, BACKLOG);
  server.on('listening', ready);
  server.on('error', (error: NodeJS.ErrnoException) => {
    const taken = error.code === 'EADDRINUSE' && performance.now() - began < PATIENCE;
    if (taken) setTimeout(attempt, RETRY);
    else failed(error);
  });
  attempt();
}
