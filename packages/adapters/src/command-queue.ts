/** The queue of the state owner's commands. */
import type { Command } from '@tealdock/controller';

/** Commands per batch. Effects are carried out only after the whole batch, so batches are short. */
const MAX_BATCH_COUNT = 64;

/**
 * Queues commands for the state owner, results of its own calls first. After a failover the
 * heartbeats of the whole fleet queue up, and a process that has just started takes seconds to
 * process them: a lease renewal whose result waited behind them would be too late, since the
 * lease would have expired. Results and requests come from different sources, so their order
 * relative to each other does not matter.
 */
export class CommandQueue {
  private results: Command[] = [];
  private others: Command[] = [];

  /** Number of queued commands. */
  get length(): number {
    return this.results.length + this.others.length;
  }

  /** Adds a command. */
  push(command: Command): void {
    (command.kind === 'result' ? this.results : this.others).push(command);
  }

  /** Removes and returns the next batch: all results, and at least one other command if any. */
  nextBatch(): Command[] {
    const { results } = this;
    this.results = [];
    const otherCount = Math.max(1, MAX_BATCH_COUNT - results.length);
    const others = this.others.slice(0, otherCount);
    this.others = this.others.slice(otherCount);
    return [...results, ...others];
  }
}
