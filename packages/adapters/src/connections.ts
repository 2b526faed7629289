/** Clients' connections to the public HTTP server, and which of them are kept open. */
import type { Duration, Instant } from '@tealdock/wire';
import type { SocketShares } from '@tealdock/controller';

/**
 * The client of a connection, by the last request on it; `nobody` before the first one. The values
 * are parts of the names of gauges.
 */
export type ClientKind = 'nobody' | 'worker' | 'user' | 'probe';

/** The part of a socket's interface that `Connections` needs. */
export interface Closable {
  /** Closes the socket immediately. */
  destroy(): unknown;
}

interface Connection {
  client: ClientKind;
  /** Requests that have not been answered yet. */
  unansweredCount: number;
  lastUsedAt: Instant;
  /** True if it exceeds the clients' share: it gets one answer and is then closed. */
  isSurplus: boolean;
}

/** Idle timeout of connections on which no request has arrived yet. */
const UNUSED_TIMEOUT_MS = 10_000;
/** Idle timeout of surplus connections: short, since there are few places for rejected clients. */
const SURPLUS_TIMEOUT_MS = 2000;
const USER_IDLE_TIMEOUT_MS = 60_000;
/** A worker that has missed this many heartbeats has failed or will open a new connection. */
const MISSED_HEARTBEAT_COUNT = 4;
const MIN_WORKER_IDLE_TIMEOUT_MS = 15_000;
/**
 * Clients wait for each answer before their next request (protocol: no requests are pipelined). An
 * answer may still count as unsent when the client has it already, so a few more are let through.
 */
const MAX_UNANSWERED_COUNT = 4;

/**
 * Admits clients' connections and closes idle ones. A machine that fails, is preempted or is
 * returned does not close its connection; with many machines coming and going, such connections
 * would fill the table within a minute, so idle ones are closed early. When the table is full,
 * each new connection replaces the user's connection that has been idle for the longest. Workers
 * keep theirs, since they need them to renew their leases. If no user's connection is idle, the
 * new one is surplus, as is a worker's beyond the workers' share: it is answered once, with a
 * retry time, and closed.
 */
export class Connections {
  /** In the order of their last use, least recently used first. */
  private readonly connections = new Map<Closable, Connection>();
  private readonly countByClient: Record<ClientKind, number> = {
    nobody: 0,
    worker: 0,
    user: 0,
    probe: 0,
  };
  private surplusCount = 0;

  constructor(
    private readonly shares: SocketShares,
    private readonly heartbeatInterval: Duration,
    private readonly now: () => Instant,
  ) {}

  /** Numbers of open connections by client; surplus ones count only as `surplus`. */
  counts(): Record<ClientKind | 'surplus', number> {
    return { ...this.countByClient, surplus: this.surplusCount };
  }

  /** Adds the connection of a client that has connected. */
  connectionOpened(socket: Closable): void {
    const regularCount = this.connections.size - this.surplusCount;
    const isSurplus = regularCount >= this.shares.clients && !this.closeOneIdleUser();
    const lastUsedAt = this.now();
    this.connections.set(socket, { client: 'nobody', unansweredCount: 0, lastUsedAt, isSurplus });
    if (isSurplus) this.surplusCount++;
    else this.countByClient.nobody++;
  }

  /** Removes a connection that has been closed by either side. */
  connectionClosed(socket: Closable): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    this.connections.delete(socket);
    if (connection.isSurplus) this.surplusCount--;
    else this.countByClient[connection.client]--;
  }

  /** Records a request. False if it must be rejected, which a health probe never is. */
  admitRequest(socket: Closable, client: ClientKind): boolean {
    const connection = this.connections.get(socket);
    if (!connection) return true;
    this.markUsed(socket, connection);
    connection.unansweredCount++;
    if (!connection.isSurplus && client !== connection.client) {
      this.countByClient[connection.client]--;
      if (client === 'worker' && this.countByClient.worker >= this.shares.workers) {
        this.makeSurplus(connection);
      } else this.countByClient[client]++;
    }
    connection.client = client;
    return !connection.isSurplus || client === 'probe';
  }

  /** Whether the client sends requests without waiting for the answers, against the protocol. */
  isPipelining(socket: Closable): boolean {
    return (this.connections.get(socket)?.unansweredCount ?? 0) > MAX_UNANSWERED_COUNT;
  }

  /** Whether the connection must be closed after the next answer. */
  mustCloseAfterAnswer(socket: Closable): boolean {
    return this.connections.get(socket)?.isSurplus ?? false;
  }

  /** Records that a request has been answered or that its connection is closed. */
  requestAnswered(socket: Closable): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.unansweredCount--;
    this.markUsed(socket, connection);
  }

  /** Closes all connections that have been idle for longer than their timeout. */
  closeIdleConnections(): void {
    const now = this.now();
    const idle = [...this.connections].filter(
      ([, connection]) =>
        connection.unansweredCount === 0 &&
        now - connection.lastUsedAt > this.idleTimeout(connection),
    );
    for (const [socket] of idle) this.close(socket);
  }

  private idleTimeout({ isSurplus, client }: Connection): Duration {
    if (isSurplus) return SURPLUS_TIMEOUT_MS;
    if (client === 'nobody') return UNUSED_TIMEOUT_MS;
    if (client !== 'worker') return USER_IDLE_TIMEOUT_MS;
    return Math.max(MIN_WORKER_IDLE_TIMEOUT_MS, this.heartbeatInterval * MISSED_HEARTBEAT_COUNT);
  }

  private makeSurplus(connection: Connection): void {
    connection.isSurplus = true;
    this.surplusCount++;
  }

  private markUsed(socket: Closable, connection: Connection): void {
    connection.lastUsedAt = this.now();
    this.connections.delete(socket);
    this.connections.set(socket, connection);
  }

  /** Closes the user's connection that has been idle for the longest; false if none is idle. */
  private closeOneIdleUser(): boolean {
    for (const [socket, { client, isSurplus, unansweredCount }] of this.connections) {
      if (client !== 'user' || isSurplus || unansweredCount > 0) continue;
      this.close(socket);
      return true;
    }
    return false;
  }

  private close(socket: Closable): void {
    this.connectionClosed(socket);
    socket.destroy();
  }
}
