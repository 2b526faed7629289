/** Packs small entries into few values of limited size; reads and writes nothing itself. */

/** JSON syntax around an entry of an object: quotes, colon and comma. */
const ENTRY_OVERHEAD_BYTES = 6;
const KEY_DIGIT_COUNT = 3;

/** Unsaved changes of a shard by urgency; `deferrable` ones may wait for spare write capacity. */
export type UnsavedChanges = 'none' | 'deferrable' | 'urgent';

/** Entries that are stored together under one key of the state service. */
export interface Shard<V> {
  readonly key: string;
  readonly entries: Map<string, V>;
  /** Estimated size of the stored value. */
  sizeBytes: number;
  unsavedChanges: UnsavedChanges;
  /**
   * True if entries were moved from here to other shards, which must be written before this shard
   * or with it.
   */
  hasMovedEntries: boolean;
  /** Version of the key, 0 if it does not exist; null if unknown after a failed commit. */
  version: number | null;
}

/** How entries are distributed over shards. */
export interface PackingOptions {
  /** Prefix of the shards' keys; a number follows it. */
  keyPrefix: string;
  /** Estimated size up to which a shard accepts entries, in bytes. */
  maxShardBytes: number;
  /** Urgency of a new or replaced value. */
  changeKind: Exclude<UnsavedChanges, 'none'>;
}

/** Limits of the shards written in one transaction. */
export interface BatchLimits {
  maxShardCount: number;
  maxBytes: number;
}

/** Distributes entries over shards, and tracks which shards have changes to be stored. */
export class ShardPacking<V> {
  private readonly shards: Shard<V>[] = [];
  private readonly shardOf = new Map<string, Shard<V>>();

  constructor(private readonly options: PackingOptions) {}

  /**
   * Adds a stored shard. An entry that is also in a shard loaded before is dropped from that one,
   * so shards must be loaded from the oldest version to the newest.
   */
  load(key: string, version: number, entries: Iterable<[string, V]>): void {
    const shard = this.addShard(key, version);
    for (const [id, value] of entries) {
      const older = this.shardOf.get(id);
      if (older) this.moveOut(older, id);
      this.place(shard, id, value);
    }
  }

  /** Moves entries out of shards that were stored under a larger limit. */
  splitOversized(): void {
    for (const shard of [...this.shards]) {
      for (const [id, value] of shard.entries) {
        if (shard.sizeBytes <= this.options.maxShardBytes) break;
        this.moveOut(shard, id);
        this.placeInAnyShard(id, value);
      }
    }
  }

  /** All entries, in the order in which they were placed. */
  entries(): [string, V][] {
    const all: [string, V][] = [];
    for (const [id, shard] of this.shardOf) {
      const value = shard.entries.get(id);
      if (value !== undefined) all.push([id, value]);
    }
    return all;
  }

  get(id: string): V | undefined {
    return this.shardOf.get(id)?.entries.get(id);
  }

  /**
   * Adds an entry or replaces its value. It stays in its shard if the new value fits, else it
   * moves to another one.
   */
  set(id: string, value: V): void {
    const shard = this.shardOf.get(id);
    if (shard && this.fits(shard, entryBytes(id, value) - storedEntryBytes(shard, id))) {
      this.drop(shard, id);
      this.place(shard, id, value);
      this.markChanged(shard);
    } else {
      // The new shard is written before the old one or with it, so that the stored entry may exist
      // twice for a while, but is never missing.
      if (shard) this.moveOut(shard, id);
      this.placeInAnyShard(id, value);
    }
  }

  /** Drops an entry without marking its shard as changed. */
  forget(id: string): void {
    const shard = this.shardOf.get(id);
    if (shard) this.drop(shard, id);
  }

  /** Drops an entry, as a deferrable change of its shard; false if there is no such entry. */
  remove(id: string): boolean {
    const shard = this.shardOf.get(id);
    if (!shard) return false;
    this.drop(shard, id);
    if (shard.unsavedChanges === 'none') shard.unsavedChanges = 'deferrable';
    return true;
  }

  get hasUnsavedChanges(): boolean {
    return this.shards.some((s) => s.unsavedChanges !== 'none');
  }

  get hasUrgentChanges(): boolean {
    return this.shards.some((s) => s.unsavedChanges === 'urgent');
  }

  /** A changed shard whose key's version must be read before it can be written; null if none. */
  unsavedWithUnknownVersion(): Shard<V> | null {
    const isBlocked = (s: Shard<V>) => s.unsavedChanges !== 'none' && s.version === null;
    return this.shards.find(isBlocked) ?? null;
  }

  /**
   * The next shards with changes of this urgency, as many as one transaction may write; at least
   * one, if there is any. Shards that entries were moved out of come last, after the shards that
   * received the entries.
   */
  nextBatch(changes: Exclude<UnsavedChanges, 'none'>, limits: BatchLimits): Shard<V>[] {
    const changed = this.shards.filter((s) => s.unsavedChanges === changes);
    const ordered = [
      ...changed.filter((s) => !s.hasMovedEntries),
      ...changed.filter((s) => s.hasMovedEntries),
    ];
    let totalBytes = 0;
    return ordered.slice(0, limits.maxShardCount).filter((shard, index) => {
      totalBytes += shard.sizeBytes;
      return totalBytes <= limits.maxBytes || index === 0;
    });
  }

  private fits(shard: Shard<V>, addedBytes: number): boolean {
    return shard.sizeBytes + addedBytes <= this.options.maxShardBytes;
  }

  private markChanged(shard: Shard<V>): void {
    if (shard.unsavedChanges !== 'urgent') shard.unsavedChanges = this.options.changeKind;
  }

  private placeInAnyShard(id: string, value: V): void {
    const addedBytes = entryBytes(id, value);
    // Shards that entries were moved out of are written last, too late for an entry moved in.
    const hasSpace = (s: Shard<V>) => !s.hasMovedEntries && this.fits(s, addedBytes);
    const shard = this.shards.find(hasSpace) ?? this.addShard(this.unusedKey(), 0);
    this.place(shard, id, value);
    this.markChanged(shard);
  }

  private moveOut(shard: Shard<V>, id: string): void {
    this.drop(shard, id);
    shard.hasMovedEntries = true;
    this.markChanged(shard);
  }

  private place(shard: Shard<V>, id: string, value: V): void {
    shard.entries.set(id, value);
    shard.sizeBytes += entryBytes(id, value);
    this.shardOf.set(id, shard);
  }

  private drop(shard: Shard<V>, id: string): void {
    shard.sizeBytes -= storedEntryBytes(shard, id);
    shard.entries.delete(id);
    this.shardOf.delete(id);
  }

  private addShard(key: string, version: number): Shard<V> {
    const shard: Shard<V> = {
      key,
      version,
      entries: new Map(),
      sizeBytes: 0,
      unsavedChanges: 'none',
      hasMovedEntries: false,
    };
    this.shards.push(shard);
    return shard;
  }

  private unusedKey(): string {
    const used = new Set(this.shards.map((s) => s.key));
    let number = 0;
    while (used.has(this.keyOf(number))) number++;
    return this.keyOf(number);
  }

  private keyOf(number: number): string {
    return `${this.options.keyPrefix}${String(number).padStart(KEY_DIGIT_COUNT, '0')}`;
  }
}

/** Estimated size of an entry in a stored shard, in bytes. */
export function entryBytes(id: string, value: unknown): number {
  return id.length + JSON.stringify(value).length + ENTRY_OVERHEAD_BYTES;
}

function storedEntryBytes<V>(shard: Shard<V>, id: string): number {
  const value = shard.entries.get(id);
  return value === undefined ? 0 : entryBytes(id, value);
}
