/** Who holds the connections that clients have opened. */
import type { Duration, Instant } from '@tealdock/wire';
import type { SocketShares } from '@tealdock/controller';

/** Who holds a connection, by the last thing that was asked on it. */
export type Holder = 'nobody' | 'worker' | 'user' | 'probe';

/** What the table has to know of a socket. */
export interface Closable {
  destroy(): unknown;
}

interface Connection {
  holder: Holder;
  /** Requests that have not been answered yet. */
  open: number;
  used: Instant;
  /** Beyond the clients' share: answered once, then closed. */
  surplus: boolean;
}

/** A connection on which nothing has been asked is closed after this long. */
const SILENT_LIMIT = 10_000;
/** One that will be turned away has less: whoever is next waits for its place. */
const SURPLUS_LIMIT = 2000;
const USER_IDLE = 60_000;
/** A worker that has missed this many reports is gone, or comes on a new connection. */
const MISSED_REPORTS = 4;
const LEAST_WORKER_IDLE = 15_000;

/**
 * Clients' connections and who gets one when there are too few. Machines that die, are
 * taken or returned close nothing: in a fleet that comes and goes their connections would
 * fill the table within a minute, so silent ones are closed early. When it is full, users'
 * idle connections make way for whoever comes; workers keep theirs, since leases hang on
 * them. What is left over is answered once, with when to come back, and closed.
 */
export class Connections {
  /** In the order of their last use. */
  private readonly table = new Map<Closable, Connection>();
  private readonly held: Record<Holder, number> = { nobody: 0, worker: 0, user: 0, probe: 0 };
  private surplus = 0;

  constructor(
    private readonly shares: SocketShares,
    private readonly heartbeatInterval: Duration,
    private readonly now: () => Instant,
  ) {}

  /** By whom connections are held at present; `surplus` ones count for nobody. */
  counts(): Record<Holder | 'surplus', number> {
    return { ...this.held, surplus: this.surplus };
  }

  opened(socket: Closable): void {
    const regular = this.table.size - this.surplus;
    const surplus = regular >= this.shares.clients && !this.closeIdleUser();
    this.table.set(socket, { holder: 'nobody', open: 0, used: this.now(), surplus });
    if (surplus) this.surplus++;
    else this.held.nobody++;
  }

  closed(socket: Closable): void {
    const c = this.table.get(socket);
    if (!c) return;
    this.table.delete(socket);
    if (c.surplus) this.surplus--;
    else this.held[c.holder]--;
  }

  /** False if the request is to be turned away; a probe never is. */
  asked(socket: Closable, holder: Holder): boolean {
    const c = this.table.get(socket);
    if (!c) return true;
    this.use(socket, c);
    c.open++;
    if (!c.surplus && holder !== c.holder) {
      this.held[c.holder]--;
      if (holder === 'worker' && this.held.worker >= this.shares.workers) this.demote(c);
      else this.held[holder]++;
    }
    c.holder = holder;
    return !c.surplus || holder === 'probe';
  }

  /** Whether the connection is to be closed with the answer. */
  mustClose(socket: Closable): boolean {
    return this.table.get(socket)?.surplus ?? false;
  }

  answered(socket: Closable): void {
    const c = this.table.get(socket);
    if (!c) return;
    c.open--;
    this.use(socket, c);
  }

  /** Closes what has been silent for too long. */
  sweep(): void {
    const now = this.now();
    const silent = [...this.table].filter(
      ([, c]) => c.open === 0 && now - c.used > this.patience(c),
    );
    for (const [socket] of silent) this.close(socket);
  }

  private patience(c: Connection): Duration {
    if (c.surplus) return SURPLUS_LIMIT;
    if (c.holder === 'nobody') return SILENT_LIMIT;
    if (c.holder !== 'worker') return USER_IDLE;
    return Math.max(LEAST_WORKER_IDLE, this.heartbeatInterval * MISSED_REPORTS);
  }

  private demote(c: Connection): void {
    c.surplus = true;
    this.surplus++;
  }

  private use(socket: Closable, c: Connection): void {
    c.used = this.now();
    this.table.delete(socket);
    this.table.set(socket, c);
  }

  private closeIdleUser(): boolean {
    for (const [socket, c] of this.table) {
      const idle = c.open === 0 && !c.surplus && c.holder === 'user';
      if (idle) return this.close(socket);
    }
    return false;
  }

  private close(socket: Closable): true {
    this.closed(socket);
    socket.destroy();
    return true;
  }
}
