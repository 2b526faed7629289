/** Listening on an address that an earlier process may still hold. */
import type { Server } from 'node:net';
import { splitAddress } from './http-client.js';

const RETRY_INTERVAL_MS = 500;
const RETRY_TIMEOUT_MS = 30_000;
const BACKLOG_COUNT = 511;

/** An address that can't be listened on, or not any more. */
export class ListenError extends Error {
  override readonly name = 'ListenError';

  constructor(
    readonly address: string,
    cause: Error,
  ) {
    super(`cannot listen: ${cause.message}`, { cause });
  }
}

/** What becomes of a listener. */
export interface ListenEvents {
  onListening: () => void;
  /** May also be called after `onListening`. */
  onFailure: (error: ListenError) => void;
}

/**
 * Listens, and retries while something else still has the address: a process that
 * restarts at once may find that an outgoing connection of another one has taken the port.
 */
export function listen(
  server: Server,
  address: string,
  { onListening, onFailure }: ListenEvents,
): void {
  const { host, port } = splitAddress(address);
  const startedAt = performance.now();
  const attempt = () => server.listen(port, host, BACKLOG_COUNT);
  server.on('listening', onListening);
  server.on('error', (error: NodeJS.ErrnoException) => {
    const mayRetry =
      error.code === 'EADDRINUSE' && performance.now() - startedAt < RETRY_TIMEOUT_MS;
    if (mayRetry) setTimeout(attempt, RETRY_INTERVAL_MS);
    else onFailure(new ListenError(address, error));
  });
  attempt();
}
