/** How the sockets of a process are divided between its uses. */
import type { Settings } from '@tealdock/wire';

/** Sockets for calls to the state service. */
export const STATE_SOCKET_COUNT = 24;
/** Sockets for calls to the cloud. */
export const CLOUD_SOCKET_COUNT = 8;
/** Sockets for stop commands that go to workers directly. */
export const WORKER_SOCKET_COUNT = 12;
/** Links to and from a peer, with those that are about to end or begin. */
const SOCKETS_PER_PEER_COUNT = 8;
/** Listening sockets, and those that the host has not yet released. */
const SPARE_SOCKET_COUNT = 20;
/** Part of all sockets for clients that are rejected with a retry time, and for health probes. */
const REJECTED_FRACTION = 1 / 50;
const MIN_REJECTED_COUNT = 8;
/** Part of the clients' sockets that is kept for users. */
const USER_FRACTION = 1 / 8;

/** Numbers of connections that a process accepts. */
export interface SocketShares {
  /** Workers and users together. */
  clients: number;
  /** The most of these that workers may use, which limits the size of the fleet. */
  workers: number;
  /** Beyond `clients`: answered once, with the time after which to retry, and closed. */
  rejected: number;
}

/**
 * Divides the sockets that the host allows. A process's own calls and links to peers come
 * first: a node that can't renew its lease is of no use to any client. Workers come before
 * users, since they need connections to renew their leases, but some are kept for users.
 */
export function socketShares(settings: Pick<Settings, 'maxConnections' | 'peers'>): SocketShares {
  const all = settings.maxConnections;
  const own =
    STATE_SOCKET_COUNT +
    CLOUD_SOCKET_COUNT +
    WORKER_SOCKET_COUNT +
    settings.peers.length * SOCKETS_PER_PEER_COUNT +
    SPARE_SOCKET_COUNT;
  const rejected = Math.max(MIN_REJECTED_COUNT, Math.floor(all * REJECTED_FRACTION));
  // A host that allows very little still serves: calls then queue for their sockets.
  const clients = Math.max(Math.floor(all / 2), all - own - rejected);
  return { clients, workers: Math.floor(clients * (1 - USER_FRACTION)), rejected };
}
