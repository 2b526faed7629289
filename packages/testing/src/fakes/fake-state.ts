/** In-memory stand-in for the state service. */
import type { CallResult } from '@tealdock/controller';

/** A stored value, with the field names of the state service's interface. */
interface Entry {
  v: unknown;
  /** Revision of the last write. */
  stamp: number;
  /** Id of the lease with which the key expires; null if it does not expire. */
  lease: number | null;
}
/** Times in ms. */
interface Lease {
  duration: number;
  expiresAt: number;
}
/** A long poll for changes of the keys with a prefix. */
interface Watcher {
  node: string;
  prefix: string;
  /** Only changes after this revision are returned. */
  after: number;
  /** When it is answered even if nothing has changed. */
  expiresAt: number;
  done: (r: CallResult) => void;
}
/** One change of a key; changes of one transaction share the revision `epoch`. */
interface Change {
  epoch: number;
  event: { write?: string; delete?: string; v?: unknown; stamp: number };
}
/** A transaction: executed if every guard names its key's current revision, 0 for none. */
interface Commit {
  guards: { key: string; stamp: number }[];
  writes: ({ write: string; v: unknown; tenancy?: number } | { delete: string })[];
}

/** The largest value and the largest transaction that the state service accepts. */
export interface StateLimits {
  maxValueBytes: number;
  maxTransactionWrites: number;
}

const MAX_TRANSACTION_BYTES = 64 * 1024;
const DEFAULT_RETAINED_CHANGE_COUNT = 10_000;

const jsonSizeBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value ?? null));

const answer = (status: number, body: unknown): CallResult => ({ kind: 'answer', status, body });
const clone = <T>(value: T): T => structuredClone(value);

/** Serves the interface of the state service: keys, transactions, leases and watches. */
export class FakeState {
  readonly keys = new Map<string, Entry>();
  /** The current revision; a transaction with writes or the end of a lease with keys advances it. */
  epoch = 0;
  /** During an outage each request gets a 503, no lease expires and no watch is answered. */
  down = false;
  /** Larger values and transactions are answered with 400; null for no limits. */
  limits: StateLimits | null = null;
  /** Transactions that were refused as too large. */
  oversizedCount = 0;
  /** How many changes are retained; a watch from an older revision is answered with 410. */
  retainedChangeCount = DEFAULT_RETAINED_CHANGE_COUNT;
  /** Nodes whose requests are answered with 503; their open watches are not answered. */
  readonly refusedNodes = new Set<string>();
  private readonly leases = new Map<number, Lease>();
  private readonly changes: Change[] = [];
  private watchers: Watcher[] = [];
  private lastLeaseId = 0;
  /** Revision of the last change that was dropped. */
  private compactedRevision = 0;
  /**
   * Token buckets of requests and of writes, each holding at most one second's worth; null for no
   * rate limits.
   */
  private availableTokens: { requestsPerSecond: number; writesPerSecond: number } | null;
  private refilledAt = 0;

  constructor(
    private readonly now: () => number,
    private readonly rateLimits: {
      requestsPerSecond: number;
      writesPerSecond: number;
    } | null = null,
  ) {
    this.availableTokens = rateLimits && { ...rateLimits };
  }

  /** Ends an outage; every lease starts again with its full duration. */
  restore(): void {
    this.down = false;
    for (const lease of this.leases.values()) lease.expiresAt = this.now() + lease.duration;
  }

  /** Expires leases and answers watches that have timed out or for which there are changes. */
  tick(): void {
    if (this.down) return;
    for (const [id, lease] of this.leases) if (lease.expiresAt <= this.now()) this.endLease(id);
    for (const w of this.watchers.filter((x) => x.expiresAt <= this.now())) this.respondToWatch(w);
    this.notifyWatchers();
  }

  /**
   * Answers a request of a node, with 429 if it exceeds the rate limits. A watch is answered later
   * if there are no changes yet.
   */
  handle(
    method: string,
    path: string,
    body: unknown,
    done: (r: CallResult) => void,
    node = '',
  ): void {
    if (this.down || this.refusedNodes.has(node)) return done(answer(503, { error: 'trouble' }));
    if (!this.consumeRateLimit(path === '/commit' ? (body as Commit).writes.length : 0)) {
      return done(answer(429, { error: 'too many requests' }));
    }
    const url = new URL(path, 'http://state');
    const query = url.searchParams;
    if (path.startsWith('/changes')) return this.watch(query, node, done);
    if (path.startsWith('/keys?')) return done(this.listKeys(query));
    if (path.startsWith('/keys/')) return done(this.read(path.slice('/keys/'.length)));
    if (path === '/commit') return done(this.commit(body as Commit));
    done(this.handleLease(method, path, body));
  }

  /** Consumes tokens for a request and its writes; false if there are too few. */
  private consumeRateLimit(writes: number): boolean {
    if (!this.availableTokens || !this.rateLimits) return true;
    const seconds = (this.now() - this.refilledAt) / 1000;
    this.refilledAt = this.now();
    const { requestsPerSecond, writesPerSecond } = this.rateLimits;
    this.availableTokens.requestsPerSecond = Math.min(
      requestsPerSecond,
      this.availableTokens.requestsPerSecond + seconds * requestsPerSecond,
    );
    this.availableTokens.writesPerSecond = Math.min(
      writesPerSecond,
      this.availableTokens.writesPerSecond + seconds * writesPerSecond,
    );
    if (this.availableTokens.requestsPerSecond < 1 || this.availableTokens.writesPerSecond < writes)
      return false;
    this.availableTokens.requestsPerSecond--;
    this.availableTokens.writesPerSecond -= writes;
    return true;
  }

  private read(key: string): CallResult {
    const entry = this.keys.get(key);
    if (!entry) return answer(404, { epoch: this.epoch });
    return answer(200, clone({ key, v: entry.v, stamp: entry.stamp }));
  }

  private listKeys(query: URLSearchParams): CallResult {
    const prefix = query.get('starts') ?? '';
    const after = query.get('after') ?? '';
    const limit = Number(query.get('most') ?? 1000);
    const keys = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const items = keys.slice(0, limit).map((key) => {
      const { v, stamp } = this.keys.get(key)!;
      return { key, v, stamp };
    });
    return answer(200, clone({ items, has_next: keys.length > limit, epoch: this.epoch }));
  }

  private isTooLarge({ guards, writes }: Commit): boolean {
    if (!this.limits) return false;
    const { maxValueBytes, maxTransactionWrites } = this.limits;
    if (writes.length > maxTransactionWrites || guards.length > maxTransactionWrites * 4)
      return true;
    if (jsonSizeBytes({ guards, writes }) > MAX_TRANSACTION_BYTES) return true;
    return writes.some((w) => 'write' in w && jsonSizeBytes(w.v) > maxValueBytes);
  }

  private commit({ guards, writes }: Commit): CallResult {
    if (this.isTooLarge({ guards, writes })) {
      this.oversizedCount++;
      return answer(400, { error: 'too large' });
    }
    const failed = guards.filter((g) => (this.keys.get(g.key)?.stamp ?? 0) !== g.stamp);
    const hasUnknownLease = writes.some(
      (w) => 'write' in w && w.tenancy !== undefined && !this.leases.has(w.tenancy),
    );
    if (hasUnknownLease) return answer(400, { error: 'no such lease' });
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
      const leaseDuration = (body as { life_ms: number }).life_ms;
      this.leases.set(++this.lastLeaseId, {
        duration: leaseDuration,
        expiresAt: this.now() + leaseDuration,
      });
      return answer(200, { tenancy: this.lastLeaseId });
    }
    const id = Number(path.split('/')[2]);
    const lease = this.leases.get(id);
    if (!lease) return answer(404, { error: 'no such lease' });
    if (method === 'DELETE') this.endLease(id);
    else lease.expiresAt = this.now() + lease.duration;
    return answer(200, { tenancy: id });
  }

  /** Deletes a lease, and its keys in one revision. */
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
      expiresAt: this.now() + Number(query.get('hold_ms') ?? 0),
      done,
    };
    if (watcher.after < this.compact()) return done(answer(410, { error: 'too old' }));
    this.watchers.push(watcher);
    if (this.eventsFor(watcher).length > 0) this.respondToWatch(watcher);
  }

  /** Drops the oldest changes; returns the revision before which no watch can start any more. */
  private compact(): number {
    while (this.changes.length > this.retainedChangeCount)
      this.compactedRevision = this.changes.shift()?.epoch ?? 0;
    return this.compactedRevision;
  }

  private eventsFor(w: Watcher): Change['event'][] {
    return this.changes
      .filter((n) => n.epoch > w.after)
      .map((n) => n.event)
      .filter((e) => (e.write ?? e.delete ?? '').startsWith(w.prefix));
  }

  private respondToWatch(w: Watcher): void {
    if (this.refusedNodes.has(w.node)) return;
    this.watchers = this.watchers.filter((x) => x !== w);
    w.done(answer(200, clone({ epoch: this.epoch, news: this.eventsFor(w) })));
  }

  private notifyWatchers(): void {
    for (const w of this.watchers.filter((x) => this.eventsFor(x).length > 0))
      this.respondToWatch(w);
  }
}
