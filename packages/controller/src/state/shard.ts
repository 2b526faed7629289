/** One of the keys over which a sharded table spreads its entries. */

/** Quotes, colon and comma around an entry of a map. */
const ENTRY_OVERHEAD = 6;

/** Entries that share a key, and how they differ from what is stored. */
export interface Shard<V> {
  key: string;
  /** Version of the key as last known; null while an unanswered commit leaves it open. */
  version: number | null;
  entries: Map<string, V>;
  bytes: number;
  dirty: boolean;
  /** Something in it differs from what is stored, but that can wait. */
  stale: boolean;
  /** It has given entries away: what others took in is written before, or with it. */
  shrunk: boolean;
}

/** Something in the shard is not stored yet. */
export const unstored = (shard: { dirty: boolean; stale: boolean }): boolean =>
  shard.dirty || shard.stale;

/** Bytes that an entry takes in a stored shard. */
export function sizeOf(id: string, value: unknown): number {
  return id.length + JSON.stringify(value).length + ENTRY_OVERHEAD;
}
