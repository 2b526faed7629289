/** Tables of small entries, spread over few keys. */
import type { Precondition, Instant, StateItem, Write } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { sizeOf, unstored, type Shard } from './shard.js';
import type { CompareAndSwapResult } from './state-results.js';
import type { StateStore } from './state-store.js';
import { readShard } from './stored-values.js';

/** Part of a value's limit that a shard is filled to: entries may still grow. */
const FILL = 0.7;
/** Part of what one transaction may hold; the rest is for its conditions. */
const MOST_BYTES = 48 * 1024;
/** Something urgent may come meanwhile. */
const MOST_REST = 250;
/** What can wait may take this part of all changes a second: ends of jobs and joins can't. */
const LAZY_SHARE = 1 / 8;
/** Retry after a commit that failed. */
const RETRY = 300;

/** What a table has to know of leadership: only a leader writes it. */
interface LeaderLeaseHolder {
  /** Condition of every transaction of a leader. */
  leaderPrecondition(): Precondition;
  /** Null unless leadership is surely held. */
  validLease(): object | null;
}

/**
 * A table of small entries packed into few keys, since the state service counts
 * changes of keys: a thousand machines are a dozen changes instead of a thousand.
 *
 * Only the leader writes it. Each write is guarded by leadership and by the
 * version of its own key, so that a commit which is carried out late can't undo
 * a newer one; after a commit without an answer the version is read again.
 */
export class ShardedTable<V> {
  private readonly shards: Shard<V>[] = [];
  private readonly home = new Map<string, Shard<V>>();
  private busy = false;
  private planned = false;
  private closed = false;
  /** What could wait has used its share of the changes up to then. */
  private restUntil: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: LeaderLeaseHolder,
    private readonly prefix: string,
    private readonly options: {
      /** Changes are gathered for this long before they are written. */
      gather: number;
      /** True where even what is new can wait; removals always can. */
      lazy: boolean;
      /** Told which entries a commit has stored, as they were then. */
      stored: (entries: [string, V][]) => void;
    },
  ) {}

  close(): void {
    this.closed = true;
  }

  /** Takes over what an earlier term has stored. */
  load(items: StateItem[]): [string, V][] {
    // Of an entry that stands twice the newest counts; the other goes with the next write.
    for (const item of [...items].sort((a, b) => a.version - b.version)) {
      const entries = this.state.decode(item, readShard);
      if (!entries) continue;
      const shard = this.addShard(item.key, item.version);
      for (const [id, value] of Object.entries(entries as Record<string, V>)) {
        const older = this.home.get(id);
        if (older) this.shrink(older, id);
        this.place(shard, id, value);
      }
    }
    for (const shard of [...this.shards]) this.split(shard);
    if (this.shards.some(unstored)) this.plan();
    const all: [string, V][] = [];
    for (const [id, shard] of this.home) {
      const value = shard.entries.get(id);
      if (value !== undefined) all.push([id, value]);
    }
    return all;
  }

  /** Stored under larger limits: what is too much moves on, and stands twice for a while. */
  private split(shard: Shard<V>): void {
    for (const [id, value] of shard.entries) {
      if (shard.bytes <= this.most) return;
      this.shrink(shard, id);
      this.settle(id, value);
    }
  }

  private shrink(shard: Shard<V>, id: string): void {
    this.drop(shard, id);
    shard.shrunk = true;
    this.touch(shard);
  }

  /** Into the first shard with room. */
  private settle(id: string, value: V): void {
    const size = sizeOf(id, value);
    // One that gives away itself is written last, too late for what it would take in.
    const room = (s: Shard<V>) => !s.shrunk && s.bytes + size <= this.most;
    const shard = this.shards.find(room) ?? this.newShard();
    this.place(shard, id, value);
    this.touch(shard);
  }

  private touch(shard: Shard<V>): void {
    if (this.options.lazy) shard.stale = true;
    else shard.dirty = true;
  }

  get(id: string): V | undefined {
    return this.home.get(id)?.entries.get(id);
  }

  set(id: string, value: V): void {
    const size = sizeOf(id, value);
    const old = this.home.get(id);
    if (old && old.bytes - this.entrySize(old, id) + size <= this.most) {
      this.drop(old, id);
      this.place(old, id, value);
      this.touch(old);
    } else {
      // Until both are written it stands twice, never in neither.
      if (old) this.shrink(old, id);
      this.settle(id, value);
    }
    this.plan();
  }

  /** Removals alone cost no write: whoever reads the table can tell what is over. */
  delete(id: string): void {
    const shard = this.home.get(id);
    if (shard) this.drop(shard, id);
  }

  /** Writes removals as well, for a table whose entries are taken at their word. */
  remove(id: string): void {
    const shard = this.home.get(id);
    if (!shard) return;
    this.delete(id);
    shard.stale = true;
    this.plan();
  }

  // --- shards ----------------------------------------------------------------

  private get most(): number {
    return this.runtime.settings.state.maxValueBytes * FILL;
  }

  private newShard(): Shard<V> {
    const used = new Set(this.shards.map((s) => s.key));
    let number = 0;
    while (used.has(this.keyOf(number))) number++;
    return this.addShard(this.keyOf(number), 0);
  }

  private keyOf(number: number): string {
    return `${this.prefix}${String(number).padStart(3, '0')}`;
  }

  private addShard(key: string, version: number): Shard<V> {
    const shard: Shard<V> = {
      key,
      version,
      entries: new Map(),
      bytes: 0,
      dirty: false,
      stale: false,
      shrunk: false,
    };
    this.shards.push(shard);
    return shard;
  }

  private entrySize(shard: Shard<V>, id: string): number {
    const value = shard.entries.get(id);
    return value === undefined ? 0 : sizeOf(id, value);
  }

  private place(shard: Shard<V>, id: string, value: V): void {
    shard.entries.set(id, value);
    shard.bytes += sizeOf(id, value);
    this.home.set(id, shard);
  }

  private drop(shard: Shard<V>, id: string): void {
    shard.bytes -= this.entrySize(shard, id);
    shard.entries.delete(id);
    this.home.delete(id);
  }

  // --- writing ---------------------------------------------------------------

  private plan(delay = this.options.gather): void {
    if (this.planned) return;
    this.planned = true;
    // What can't wait must not be planned behind what can.
    const rest = this.shards.some((s) => s.dirty) ? 0 : this.restUntil - this.runtime.now;
    this.runtime.after(Math.max(delay, Math.min(rest, MOST_REST)), () => {
      this.planned = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.closed || this.busy) return;
    const lost = this.shards.find((s) => unstored(s) && s.version === null);
    if (lost) return this.reread(lost);
    const urgent = this.nextBatch((s) => s.dirty);
    const rests = this.runtime.now < this.restUntil;
    const batch = urgent.length > 0 || rests ? urgent : this.nextBatch((s) => s.stale);
    if (batch.length > 0 && this.leadership.validLease()) this.write(batch, urgent.length > 0);
    else if (this.shards.some(unstored)) this.plan(RETRY);
  }

  /** What others took in goes first; as many as one transaction takes. */
  private nextBatch(wanted: (shard: Shard<V>) => boolean): Shard<V>[] {
    const all = this.shards.filter(wanted);
    const order = [...all.filter((s) => !s.shrunk), ...all.filter((s) => s.shrunk)];
    let bytes = 0;
    const batch = order.slice(0, this.runtime.settings.state.maxTransactionWrites);
    return batch.filter((s, at) => (bytes += s.bytes) <= MOST_BYTES || at === 0);
  }

  private write(batch: Shard<V>[], urgent: boolean): void {
    this.busy = true;
    const { writesPerSecond } = this.runtime.settings.state;
    const pause = (batch.length / (writesPerSecond * LAZY_SHARE)) * 1000;
    if (!urgent) this.restUntil = this.runtime.now + pause;
    const stored = batch.flatMap((s) => [...s.entries]);
    for (const s of batch) s.dirty = s.stale = false;
    const guards: Precondition[] = batch.map((s) => ({ key: s.key, version: s.version ?? 0 }));
    const writes: Write[] = batch.map((s) => ({
      put: s.key,
      value: { entries: Object.fromEntries(s.entries) },
    }));
    this.state.compareAndSwap(
      [this.leadership.leaderPrecondition(), ...guards],
      writes,
      urgent ? PRIORITY.leader : PRIORITY.background,
      (committed) => {
        this.busy = false;
        this.written(batch, committed, stored, urgent);
      },
    );
  }

  private written(
    batch: Shard<V>[],
    committed: CompareAndSwapResult,
    stored: [string, V][],
    urgent: boolean,
  ): void {
    if (this.closed) return;
    if (committed.kind === 'ok') {
      for (const s of batch) {
        s.version = committed.revision;
        s.shrunk &&= unstored(s);
      }
      this.options.stored(stored);
      if (this.shards.some(unstored)) this.plan();
      return;
    }
    for (const s of batch) {
      if (urgent) s.dirty = true;
      else s.stale = true;
      if (committed.kind !== 'refused') s.version = null;
    }
    this.plan(RETRY);
  }

  private reread(shard: Shard<V>): void {
    this.busy = true;
    this.state.get(shard.key, PRIORITY.leader, (got) => {
      this.busy = false;
      if (got.kind === 'found') shard.version = got.item.version;
      else if (got.kind === 'missing') shard.version = 0;
      this.plan(got.kind === 'failed' ? RETRY : 0);
    });
  }
}
