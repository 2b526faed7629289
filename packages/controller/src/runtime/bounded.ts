/** Collections of limited size, for what may be looked up again or forgotten. */

/** A map that forgets the entry set longest ago once it holds more than its limit. */
export class BoundedMap<K, V> extends Map<K, V> {
  constructor(private readonly limit: number) {
    super();
  }

  override set(key: K, value: V): this {
    this.delete(key);
    super.set(key, value);
    forgetOldest(this, this.limit);
    return this;
  }
}

/** A set that forgets the value added longest ago once it holds more than its limit. */
export class BoundedSet<T> extends Set<T> {
  constructor(private readonly limit: number) {
    super();
  }

  override add(value: T): this {
    this.delete(value);
    super.add(value);
    forgetOldest(this, this.limit);
    return this;
  }
}

interface Ordered<K> {
  readonly size: number;
  keys(): Iterator<K>;
  delete(key: K): boolean;
}

function forgetOldest<K>(entries: Ordered<K>, limit: number): void {
  if (entries.size <= limit) return;
  const oldest = entries.keys().next();
  if (oldest.done !== true) entries.delete(oldest.value);
}
