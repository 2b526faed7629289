/** Divides the sockets that a process may open among its uses. */
import type { Settings } from '@tealdock/wire';

/** Sockets for calls to the state service. */
export const STATE_SOCKET_COUNT = 24;
/** Sockets for calls to the cloud. */
export const CLOUD_SOCKET_COUNT = 8;
/** Sockets for stop commands that go to workers directly. */
export const WORKER_SOCKET_COUNT = 12;
/** Connections to and from one peer, including those being opened or closed. */
const SOCKETS_PER_PEER_COUNT = 8;
/** Listening sockets, and closed sockets that the host has not released yet. */
const SPARE_SOCKET_COUNT = 20;
/** Share of all sockets for health probes and for clients that get only a retry time. */
const REJECTED_FRACTION = 1 / 50;
const MIN_REJECTED_COUNT = 8;
/** Share of the clients' sockets that is reserved for users. */
const USER_FRACTION = 1 / 8;

/** How many client connections a process accepts. */
export interface SocketShares {
  /** Workers and users together. */
  clients: number;
  /** How many of `clients` workers may use; this limits the size of the fleet. */
  workers: number;
  /** Accepted in addition to `clients`: answered once, with a retry time, and closed. */
  rejected: number;
}

/**
 * Divides the sockets that the host allows. The process's own calls and its links to peers come
 * first, since a node that can't renew its lease can't serve any client. Workers get most of the
 * rest, since they need connections to renew their leases; some are reserved for users.
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
  // Clients get at least half even if the limit is very low; calls then queue for free sockets.
  const clients = Math.max(Math.floor(all / 2), all - own - rejected);
  return { clients, workers: Math.floor(clients * (1 - USER_FRACTION)), rejected };
}
