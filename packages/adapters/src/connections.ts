/** The connections that clients have opened, and which of them stay open. */
import type { Duration, Instant } from '@tealdock/wire';
import type { SocketShares } from '@tealdock/controller';

/** Who uses a connection, by the last request on it; also names of gauges. */
export type ClientKind = 'nobody' | 'worker' | 'user' | 'probe';

/** A socket, as far as the table needs it. */
export interface Closable {
  /** Closes it at once. */
  destroy(): unknown;
}

interface Connection {
  client: ClientKind;
  /** Requests that have not been answered yet. */
  unansweredCount: number;
  lastUsedAt: Instant;
  /** Beyond the clients' share: answered once, then closed. */
  isSurplus: boolean;
}

/** For connections without any request. */
const UNUSED_TIMEOUT_MS = 10_000;
/** Shorter: other clients wait for the place of one that will be turned away. */
const SURPLUS_TIMEOUT_MS = 2000;
const USER_IDLE_TIMEOUT_MS = 60_000;
/** A worker that has missed so many heartbeats is gone, or will open a new connection. */
const MISSED_HEARTBEAT_COUNT = 4;
const MIN_WORKER_IDLE_TIMEOUT_MS = 15_000;

/**
 * Admission of clients' connections. Machines that die, are taken or returned close
 * nothing, so idle connections are closed early; with many machines coming and going they
 * would else fill the table within a minute. When it is full, the connection of a user that
 * has been idle for the longest is closed for each new one; workers keep theirs, since their
 * leases depend on them. A surplus connection is answered once, with a time to retry, and
 * closed.
 */
export class Connections {
  /** In the order of their last use, oldest first. */
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

  /** Open connections by client; `surplus` ones are counted under that alone. */
  counts(): Record<ClientKind | 'surplus', number> {
    return { ...this.countByClient, surplus: this.surplusCount };
  }

  /** A client has connected. */
  connectionOpened(socket: Closable): void {
    const regularCount = this.connections.size - this.surplusCount;
    const isSurplus = regularCount >= this.shares.clients && !this.closeOneIdleUser();
    const lastUsedAt = this.now();
    this.connections.set(socket, { client: 'nobody', unansweredCount: 0, lastUsedAt, isSurplus });
    if (isSurplus) this.surplusCount++;
    else this.countByClient.nobody++;
  }

  /** A connection is gone, whoever closed it. */
  connectionClosed(socket: Closable): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    this.connections.delete(socket);
    if (connection.isSurplus) this.surplusCount--;
    else this.countByClient[connection.client]--;
  }

  /** A request has come in. False if it is to be turned away; a probe never is. */
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

  /** Whether the connection is to be closed with the answer. */
  mustCloseAfterAnswer(socket: Closable): boolean {
    return this.connections.get(socket)?.isSurplus ?? false;
  }

  /** A request has been answered, or its connection is gone. */
  requestAnswered(socket: Closable): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.unansweredCount--;
    this.markUsed(socket, connection);
  }

  /** Closes connections that have been idle for too long. */
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

  /** False if no user's connection is idle. */
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
