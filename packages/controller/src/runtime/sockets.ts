/** How the sockets of a process are shared out. */
import type { Settings } from '@tealdock/wire';

/** Sockets for calls to the state service, and to the cloud. */
export const STATE_SOCKETS = 24;
export const CLOUD_SOCKETS = 8;
/** For stops that go to workers directly. */
export const WORKER_SOCKETS = 12;
/** Links to and from a peer, with those that are about to end or begin. */
const SOCKETS_A_PEER = 8;
/** What listens, and sockets that the host has not yet let go. */
const SPARE_SOCKETS = 20;
/** Part of all sockets for clients that are told to come back, and for health probes. */
const TURNED_AWAY_PART = 1 / 50;
const LEAST_TURNED_AWAY = 8;
/** Part of the clients' sockets that workers leave to users. */
const USERS_PART = 1 / 8;

/** How a process shares out the sockets that its host allows. */
export interface SocketShares {
  /** Workers and users together. */
  clients: number;
  /** The most of these that workers may take, which bounds the fleet. */
  workers: number;
  /** Beyond `clients`: answered once, with when to come back, and closed. */
  turnedAway: number;
}

/**
 * Own calls and links to peers come first: a node that can't renew its lease is of no use
 * to anybody who got in. Workers come before users, since leases hang on them, but users
 * keep a part.
 */
export function socketShares(settings: Pick<Settings, 'maxConnections' | 'peers'>): SocketShares {
  const all = settings.maxConnections;
  const own =
    STATE_SOCKETS +
    CLOUD_SOCKETS +
    WORKER_SOCKETS +
    settings.peers.length * SOCKETS_A_PEER +
    SPARE_SOCKETS;
  const turnedAway = Math.max(LEAST_TURNED_AWAY, Math.floor(all * TURNED_AWAY_PART));
  // A host that allows very little still serves: calls then queue for their sockets.
  const clients = Math.max(Math.floor(all / 2), all - own - turnedAway);
  return { clients, workers: Math.floor(clients * (1 - USERS_PART)), turnedAway };
}
