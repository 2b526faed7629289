/** Collections of limited size, for caches and other data that may be forgotten. */

/** A map that drops the entry that was set longest ago when it exceeds its limit. */
export class BoundedMap<K, V> extends Map<K, V> {
  constructor(private readonly maxSize: number) {
    super();
  }

  override set(key: K, value: V): this {
    this.delete(key);
    super.set(key, value);
    forgetOldest(this, this.maxSize);
    return this;
  }
}

/** A set that drops the value that was added longest ago when it exceeds its limit. */
export class BoundedSet<T> extends Set<T> {
  constructor(private readonly maxSize: number) {
    super();
  }

  override add(value: T): this {
    this.delete(value);
    super.add(value);
    forgetOldest(this, this.maxSize);
    return this;
  }
}

interface InsertionOrdered<K> {
  readonly size: number;
  keys(): Iterator<K>;
  delete(key: K): boolean;
}

function forgetOldest<K>(entries: InsertionOrdered<K>, maxSize: number): void {
  if (entries.size <= maxSize) return;
  const oldest = entries.keys().next();
  if (oldest.done !== true) entries.delete(oldest.value);
}
