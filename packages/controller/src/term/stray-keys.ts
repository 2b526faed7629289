/** Removal of stored keys that do not belong to any job. */
import type { Leadership } from '../leadership/leadership.js';
import { PRIORITY } from '../runtime/ports.js';
import type { StateStore } from '../state/state-store.js';

/** Maximum number of keys that one transaction removes. */
const MAX_BATCH_COUNT = 4;

/** Keys under the live-job prefix without a job, found when a term loads the stored state. */
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

  /** Removes the next batch of keys, and queues them again if the commit fails. Calls back once. */
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
