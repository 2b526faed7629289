/** The state service in memory. */
import type { CallResult } from '@tealdock/controller';

interface Entry {
  v: unknown;
  stamp: number;
  lease: number | null;
}
interface Lease {
  duration: number;
  expiresAt: number;
}
interface Watcher {
  node: string;
  prefix: string;
  after: number;
  until: number;
  done: (r: CallResult) => void;
}
interface Change {
  epoch: number;
  event: { write?: string; delete?: string; v?: unknown; stamp: number };
}
interface Commit {
  guards: { key: string; stamp: number }[];
  writes: ({ write: string; v: unknown; tenancy?: number } | { delete: string })[];
}

/** The largest value and transaction that the state service takes. */
export interface StateLimits {
  maxValueBytes: number;
  maxTransactionWrites: number;
}

const MAX_TRANSACTION_BYTES = 64 * 1024;
/** The service keeps the last so many changes. */
const DEFAULT_RETAINED_CHANGE_COUNT = 10_000;

const sizeOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value ?? null));

const answer = (status: number, body: unknown): CallResult => ({ kind: 'answer', status, body });
const clone = <T>(value: T): T => structuredClone(value);

/** The state service in memory: keys, leases, watches, and outages on demand. */
export class FakeState {
  readonly keys = new Map<string, Entry>();
  epoch = 0;
  down = false;
  /** The largest value and transaction; more is a 400. */
  limits: StateLimits | null = null;
  /** Transactions that were too large. */
  oversizedCount = 0;
  /** So many changes can be watched from; an older revision gets 410. */
  retainedChangeCount = DEFAULT_RETAINED_CHANGE_COUNT;
  /** Nodes that get 503 while all others are served; their open watches wait. */
  readonly refusedNodes = new Set<string>();
  private readonly leases = new Map<number, Lease>();
  private readonly changes: Change[] = [];
  private watchers: Watcher[] = [];
  private lastLease = 0;
  private compactedTo = 0;
  /** What is left of a second's worth of requests and changes. */
  private remaining: { requestsPerSecond: number; writesPerSecond: number } | null;
  private refilledAt = 0;

  constructor(
    private readonly now: () => number,
    private readonly rateLimits: {
      requestsPerSecond: number;
      writesPerSecond: number;
    } | null = null,
  ) {
    this.remaining = rateLimits && { ...rateLimits };
  }

  /** After an outage every lease has its full time again. */
  restore(): void {
    this.down = false;
    for (const lease of this.leases.values()) lease.expiresAt = this.now() + lease.duration;
  }

  tick(): void {
    if (this.down) return;
    for (const [id, lease] of this.leases) if (lease.expiresAt <= this.now()) this.endLease(id);
    for (const w of this.watchers.filter((x) => x.until <= this.now())) this.finish(w);
    this.notifyWatchers();
  }

  handle(
    method: string,
    path: string,
    body: unknown,
    done: (r: CallResult) => void,
    node = '',
  ): void {
    if (this.down || this.refusedNodes.has(node)) return done(answer(503, { error: 'trouble' }));
    if (!this.takeFromRateLimit(path === '/commit' ? (body as Commit).writes.length : 0)) {
      return done(answer(429, { error: 'too many requests' }));
    }
    const url = new URL(path, 'http://state');
    const query = url.searchParams;
    if (path.startsWith('/changes')) return this.watch(query, node, done);
    if (path.startsWith('/keys?')) return done(this.page(query));
    if (path.startsWith('/keys/')) return done(this.read(path.slice('/keys/'.length)));
    if (path === '/commit') return done(this.commit(body as Commit));
    done(this.handleLease(method, path, body));
  }

  private takeFromRateLimit(writes: number): boolean {
    if (!this.remaining || !this.rateLimits) return true;
    const seconds = (this.now() - this.refilledAt) / 1000;
    this.refilledAt = this.now();
    const { requestsPerSecond, writesPerSecond } = this.rateLimits;
    this.remaining.requestsPerSecond = Math.min(
      requestsPerSecond,
      this.remaining.requestsPerSecond + seconds * requestsPerSecond,
    );
    this.remaining.writesPerSecond = Math.min(
      writesPerSecond,
      this.remaining.writesPerSecond + seconds * writesPerSecond,
    );
    if (this.remaining.requestsPerSecond < 1 || this.remaining.writesPerSecond < writes)
      return false;
    this.remaining.requestsPerSecond--;
    this.remaining.writesPerSecond -= writes;
    return true;
  }

  private read(key: string): CallResult {
    const entry = this.keys.get(key);
    if (!entry) return answer(404, { epoch: this.epoch });
    return answer(200, clone({ key, v: entry.v, stamp: entry.stamp }));
  }

  private page(query: URLSearchParams): CallResult {
    const prefix = query.get('starts') ?? '';
    const after = query.get('after') ?? '';
    const most = Number(query.get('most') ?? 1000);
    const keys = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const items = keys.slice(0, most).map((key) => {
      const { v, stamp } = this.keys.get(key)!;
      return { key, v, stamp };
    });
    return answer(200, clone({ items, has_next: keys.length > most, epoch: this.epoch }));
  }

  private tooLarge({ guards, writes }: Commit): boolean {
    if (!this.limits) return false;
    const { maxValueBytes, maxTransactionWrites } = this.limits;
    if (writes.length > maxTransactionWrites || guards.length > maxTransactionWrites * 4)
      return true;
    if (sizeOf({ guards, writes }) > MAX_TRANSACTION_BYTES) return true;
    return writes.some((w) => 'write' in w && sizeOf(w.v) > maxValueBytes);
  }

  private commit({ guards, writes }: Commit): CallResult {
    if (this.tooLarge({ guards, writes })) {
      this.oversizedCount++;
      return answer(400, { error: 'too large' });
    }
    const failed = guards.filter((g) => (this.keys.get(g.key)?.stamp ?? 0) !== g.stamp);
    const dead = writes.some(
      (w) => 'write' in w && w.tenancy !== undefined && !this.leases.has(w.tenancy),
    );
    if (dead) return answer(400, { error: 'no such lease' });
    if (failed.length > 0)
      return answer(409, { failed: failed.map((g) => g.key), epoch: this.epoch });
    if (writes.length === 0) return answer(200, { epoch: this.epoch });
    this.epoch++;
    for (const w of writes) {
      if ('write' in w) this.put(w.write, clone(w.v), w.tenancy ?? null);
      else this.remove(w.delete);
    }
    this.notifyWatchers();
    return answer(200, { epoch: this.epoch });
  }

  private put(key: string, v: unknown, lease: number | null): void {
    this.keys.set(key, { v, stamp: this.epoch, lease });
    this.changes.push({ epoch: this.epoch, event: { write: key, v, stamp: this.epoch } });
  }

  private remove(key: string): void {
    if (!this.keys.delete(key)) return;
    this.changes.push({ epoch: this.epoch, event: { delete: key, stamp: this.epoch } });
  }

  private handleLease(method: string, path: string, body: unknown): CallResult {
    if (path === '/grants') {
      const life = (body as { life_ms: number }).life_ms;
      this.leases.set(++this.lastLease, { duration: life, expiresAt: this.now() + life });
      return answer(200, { tenancy: this.lastLease });
    }
    const id = Number(path.split('/')[2]);
    const lease = this.leases.get(id);
    if (!lease) return answer(404, { error: 'no such lease' });
    if (method === 'DELETE') this.endLease(id);
    else lease.expiresAt = this.now() + lease.duration;
    return answer(200, { tenancy: id });
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    const attached = [...this.keys].filter(([, e]) => e.lease === id);
    if (attached.length === 0) return;
    this.epoch++;
    for (const [key] of attached) this.remove(key);
    this.notifyWatchers();
  }

  private watch(query: URLSearchParams, node: string, done: (r: CallResult) => void): void {
    const watcher = {
      node,
      prefix: query.get('starts') ?? '',
      after: Number(query.get('after')),
      until: this.now() + Number(query.get('hold_ms') ?? 0),
      done,
    };
    if (watcher.after < this.compact()) return done(answer(410, { error: 'too old' }));
    this.watchers.push(watcher);
    if (this.eventsFor(watcher).length > 0) this.finish(watcher);
  }

  /** Drops the oldest changes; up to the revision returned none can be watched any more. */
  private compact(): number {
    while (this.changes.length > this.retainedChangeCount)
      this.compactedTo = this.changes.shift()?.epoch ?? 0;
    return this.compactedTo;
  }

  private eventsFor(w: Watcher): Change['event'][] {
    return this.changes
      .filter((n) => n.epoch > w.after)
      .map((n) => n.event)
      .filter((e) => (e.write ?? e.delete ?? '').startsWith(w.prefix));
  }

  private finish(w: Watcher): void {
    if (this.refusedNodes.has(w.node)) return;
    this.watchers = this.watchers.filter((x) => x !== w);
    w.done(answer(200, clone({ epoch: this.epoch, news: this.eventsFor(w) })));
  }

  private notifyWatchers(): void {
    for (const w of this.watchers.filter((x) => this.eventsFor(x).length > 0)) this.finish(w);
  }
}
