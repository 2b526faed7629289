/** The queue of commands for the state owner. */
import type { Command } from '@tealdock/controller';

/** Effects leave only after their whole batch, so batches are short. */
const MAX_BATCH_COUNT = 64;

/**
 * Commands that wait for the state owner. After a failover, heartbeats of the whole fleet
 * queue up, and a process that has just started takes seconds for them. Results of its own
 * calls go first: behind the heartbeats, the result of a lease renewal would come after the
 * lease has expired. Results and requests come from different sources, so no order between
 * them is lost.
 */
export class CommandQueue {
  private results: Command[] = [];
  private others: Command[] = [];

  /** Commands that wait. */
  get length(): number {
    return this.results.length + this.others.length;
  }

  /** Adds a command. */
  push(command: Command): void {
    (command.kind === 'result' ? this.results : this.others).push(command);
  }

  /** Removes and returns the next batch: all results, and at least one other command. */
  nextBatch(): Command[] {
    const { results } = this;
    this.results = [];
    const otherCount = Math.max(1, MAX_BATCH_COUNT - results.length);
    const others = this.others.slice(0, otherCount);
    this.others = this.others.slice(otherCount);
    return [...results, ...others];
  }
}
