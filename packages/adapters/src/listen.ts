/** Listening on an address that another process may still use for a short time. */
import type { Server } from 'node:net';
import { splitAddress } from './http-client.js';

const RETRY_INTERVAL_MS = 500;
const RETRY_TIMEOUT_MS = 30_000;
const BACKLOG_COUNT = 511;

/** A server can't listen on its address, or has stopped listening because of an error. */
export class ListenError extends Error {
  override readonly name = 'ListenError';

  constructor(
    readonly address: string,
    cause: Error,
  ) {
    super(`cannot listen: ${cause.message}`, { cause });
  }
}

/** Callbacks of `listen`. */
export interface ListenEvents {
  onListening: () => void;
  /** May also be called after `onListening`. */
  onFailure: (error: ListenError) => void;
}

/**
 * Listens on an address (`host:port`) and retries while the address is in use: an outgoing
 * connection of another process may have taken the port while this process was restarting.
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
