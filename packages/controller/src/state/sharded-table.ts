/** A table of small entries in the state service, stored in few keys. */
import {
  millisecondsOf,
  type Duration,
  type Instant,
  type Precondition,
  type StateItem,
  type Write,
} from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { ShardPacking, type BatchLimits, type Shard } from './shard-packing.js';
import type { CompareAndSwapResult } from './state-results.js';
import type { StateStore } from './state-store.js';
import { readShard } from './stored-values.js';

/** Fraction of the size limit of a value up to which a shard is filled; its entries may grow. */
const SHARD_FILL_FRACTION = 0.7;
/** Size limit of the values in one transaction; it leaves space for the preconditions. */
const MAX_BATCH_BYTES = 48 * 1024;
/**
 * Longest time that a flush waits for spare write capacity, since an urgent change that comes
 * meanwhile has to wait for the same flush.
 */
const MAX_DEFERRAL_MS = 250;
/**
 * Fraction of the state service's writes per second that deferrable changes may use. The rest is
 * for ends of jobs and new machines, which can't wait.
 */
const DEFERRABLE_WRITE_FRACTION = 1 / 8;
const COMMIT_RETRY_DELAY_MS = 300;

/** The part of leadership that a table uses, since only a leader writes it. */
interface LeaderLeaseHolder {
  /** The precondition of every transaction of a leader: that it still leads. */
  leaderPrecondition(): Precondition;
  /** Null unless the leader's lease is certainly valid now. */
  validLease(): object | null;
}

/** How a table is stored. */
export interface ShardedTableOptions<V> {
  keyPrefix: string;
  /** Time for which changes are collected before they are written together. */
  batchDelay: Duration;
  /** True if new values may wait for spare write capacity; removals always may. */
  valuesDeferrable: boolean;
  /** Receives the entries that a commit has stored, as they were when it was sent. */
  onStored: (entries: [string, V][]) => void;
}

/** Shards of one commit, and their entries as they were when it was sent. */
interface Batch<V> {
  shards: Shard<V>[];
  entries: [string, V][];
  changes: 'urgent' | 'deferrable';
}

/**
 * A table of small entries packed into few keys, since the state service limits the keys written
 * per second: a thousand machines take a dozen writes instead of a thousand.
 *
 * Only the leader writes it. The preconditions of each write are leadership and the version of
 * the written key, so that a commit which is carried out late can't undo a newer one. Failed
 * commits are repeated until `close`; unless a commit was refused, the version is read again first.
 */
export class ShardedTable<V> {
  private readonly packing: ShardPacking<V>;
  private callInProgress = false;
  private flushScheduled = false;
  private closed = false;
  /** Earliest time of the next write of deferrable changes, by their share of the capacity. */
  private deferredWritesAllowedAt: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: LeaderLeaseHolder,
    private readonly options: ShardedTableOptions<V>,
  ) {
    this.packing = new ShardPacking({
      keyPrefix: options.keyPrefix,
      maxShardBytes: runtime.settings.state.maxValueBytes * SHARD_FILL_FRACTION,
      changeKind: options.valuesDeferrable ? 'deferrable' : 'urgent',
    });
  }

  /** Stops all further writes. */
  close(): void {
    this.closed = true;
  }

  /** Loads and returns the entries that earlier terms stored; unreadable shards are logged. */
  load(items: StateItem[]): [string, V][] {
    for (const item of [...items].sort((a, b) => a.version - b.version)) {
      const entries = this.state.decode(item, readShard);
      if (!entries) continue;
      this.packing.load(item.key, item.version, Object.entries(entries as Record<string, V>));
    }
    this.packing.splitOversized();
    if (this.packing.hasUnsavedChanges) this.scheduleFlush();
    return this.packing.entries();
  }

  /** The newest value, stored or not; undefined if there is none. */
  get(id: string): V | undefined {
    return this.packing.get(id);
  }

  /** Adds an entry or replaces its value. */
  set(id: string, value: V): void {
    this.packing.set(id, value);
    this.scheduleFlush();
  }

  /** Drops an entry without a write; for entries that readers can tell to be obsolete. */
  forget(id: string): void {
    this.packing.forget(id);
  }

  /** Drops an entry, and writes its shard without it. */
  remove(id: string): void {
    if (this.packing.remove(id)) this.scheduleFlush();
  }

  private scheduleFlush(delay: Duration = this.options.batchDelay): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    // An urgent change must not wait behind deferrable ones.
    const deferral = this.packing.hasUrgentChanges
      ? 0
      : this.deferredWritesAllowedAt - this.runtime.now;
    this.runtime.after(Math.max(delay, Math.min(deferral, MAX_DEFERRAL_MS)), () => {
      this.flushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.closed || this.callInProgress) return;
    const blocked = this.packing.unsavedWithUnknownVersion();
    if (blocked) return this.refreshVersion(blocked);
    const batch = this.nextBatch();
    if (batch && this.leadership.validLease()) this.write(batch);
    else if (this.packing.hasUnsavedChanges) this.scheduleFlush(COMMIT_RETRY_DELAY_MS);
  }

  private nextBatch(): Batch<V> | null {
    const limits: BatchLimits = {
      maxShardCount: this.runtime.settings.state.maxTransactionWrites,
      maxBytes: MAX_BATCH_BYTES,
    };
    const mayWriteDeferred = this.runtime.now >= this.deferredWritesAllowedAt;
    const changes = this.packing.hasUrgentChanges || !mayWriteDeferred ? 'urgent' : 'deferrable';
    const shards = this.packing.nextBatch(changes, limits);
    if (shards.length === 0) return null;
    return { shards, entries: shards.flatMap((s) => [...s.entries]), changes };
  }

  private write(batch: Batch<V>): void {
    this.callInProgress = true;
    const { shards, changes } = batch;
    if (changes === 'deferrable') this.limitDeferredWrites(shards.length);
    for (const shard of shards) shard.unsavedChanges = 'none';
    const preconditions = shards.map(({ key, version }) => ({ key, version: version ?? 0 }));
    const writes: Write[] = shards.map(({ key, entries }) => ({
      put: key,
      value: { entries: Object.fromEntries(entries) },
    }));
    this.state.compareAndSwap(
      [this.leadership.leaderPrecondition(), ...preconditions],
      writes,
      changes === 'urgent' ? PRIORITY.leader : PRIORITY.background,
      (commit) => {
        this.callInProgress = false;
        if (!this.closed) this.onCommitResult(batch, commit);
      },
    );
  }

  private limitDeferredWrites(writeCount: number): void {
    const { writesPerSecond } = this.runtime.settings.state;
    const pause = millisecondsOf(writeCount / (writesPerSecond * DEFERRABLE_WRITE_FRACTION));
    this.deferredWritesAllowedAt = this.runtime.now + pause;
  }

  private onCommitResult(batch: Batch<V>, commit: CompareAndSwapResult): void {
    if (commit.kind === 'ok') {
      for (const shard of batch.shards) {
        shard.version = commit.revision;
        if (shard.unsavedChanges === 'none') shard.hasMovedEntries = false;
      }
      this.options.onStored(batch.entries);
      if (this.packing.hasUnsavedChanges) this.scheduleFlush();
      return;
    }
    for (const shard of batch.shards) {
      if (shard.unsavedChanges !== 'urgent') shard.unsavedChanges = batch.changes;
      if (commit.kind !== 'refused' && commit.kind !== 'invalid') shard.version = null;
    }
    this.scheduleFlush(COMMIT_RETRY_DELAY_MS);
  }

  private refreshVersion(shard: Shard<V>): void {
    this.callInProgress = true;
    this.state.get(shard.key, PRIORITY.leader, (read) => {
      this.callInProgress = false;
      if (read.kind === 'found') shard.version = read.item.version;
      else if (read.kind === 'missing') shard.version = 0;
      this.scheduleFlush(read.kind === 'failed' ? COMMIT_RETRY_DELAY_MS : 0);
    });
  }
}
