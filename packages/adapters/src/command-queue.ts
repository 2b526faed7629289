/** The queue of commands for the state owner. */
import type { Command } from '@tealdock/controller';

/** A batch holds the state owner for as long as it takes: effects leave after it. */
const MOST_BATCH = 64;

/**
 * What waits for the state owner. After a take-over a thousand reports queue up, and a
 * process that has just started takes seconds for them. Answers to its own calls go first:
 * behind the reports, that of a lease's renewal would come after the lease. They are in no
 * order with requests anyway, since they come from elsewhere.
 */
export class CommandQueue {
  private results: Command[] = [];
  private others: Command[] = [];

  get length(): number {
    return this.results.length + this.others.length;
  }

  push(command: Command): void {
    (command.kind === 'result' ? this.results : this.others).push(command);
  }

  /** The next batch. */
  take(): Command[] {
    const first = this.results;
    this.results = [];
    const room = Math.max(1, MOST_BATCH - first.length);
    const rest = this.others.slice(0, room);
    this.others = this.others.slice(room);
    return [...first, ...rest];
  }
}
