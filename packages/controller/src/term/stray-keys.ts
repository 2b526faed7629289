/** Removal of keys that belong to no job. */
import type { Leadership } from '../leadership/leadership.js';
import { PRIORITY } from '../runtime/ports.js';
import type { StateStore } from '../state/state-store.js';

/** Keys that one transaction removes. */
const MAX_BATCH_COUNT = 4;

/** Keys below the live jobs' prefix that belong to no job; found when a term begins. */
export class StrayKeys {
  private readonly keys: string[] = [];

  constructor(
    private readonly state: StateStore,
    private readonly leadership: Leadership,
  ) {}

  /** Queues a key for removal. */
  add(key: string): void {
    this.keys.push(key);
  }

  get isEmpty(): boolean {
    return this.keys.length === 0;
  }

  /** Removes the next few keys; they are queued again if the commit fails. Calls back once. */
  removeBatch(onFinished: () => void): void {
    const batch = this.keys.splice(0, MAX_BATCH_COUNT);
    this.state.compareAndSwap(
      [this.leadership.leaderPrecondition()],
      batch.map((key) => ({ remove: key })),
      PRIORITY.background,
      (committed) => {
        if (committed.kind !== 'ok') this.keys.push(...batch);
        onFinished();
      },
    );
  }
}
