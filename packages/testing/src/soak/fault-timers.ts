/** Timers that begin and end faults. */
import type { Duration } from '@tealdock/wire';

/** Timers that can all be cleared at once. */
export class FaultTimers {
  private readonly pending = new Set<NodeJS.Timeout>();

  /** Calls `run` after the delay, unless the timers are cleared before. */
  after(delay: Duration, run: () => void): void {
    const timer = setTimeout(() => {
      this.pending.delete(timer);
      run();
    }, delay);
    this.pending.add(timer);
  }

  /** Clears all timers that have not run. */
  clear(): void {
    for (const timer of this.pending) clearTimeout(timer);
    this.pending.clear();
  }
}
