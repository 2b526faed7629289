import { renderReportAnswer, type Instant } from '@tealdock/wire';
import type { Held } from './leadership.js';
import type { Runtime } from './runtime.js';
import type { Term } from './term.js';

interface Open {
  request: number;
  until: Instant;
}

/**
 * An answer without orders is kept back for a short, bounded time, so that a
 * start booked meanwhile leaves at once instead of with the next report. It
 * stays the answer to the newest report, since a worker has one in flight.
 */
export class HeldAnswers {
  private readonly open = new Map<string, Open>();

  constructor(
    private readonly rt: Runtime,
    private readonly term: Term,
  ) {}

  hold(machine: string, request: number): void {
    this.open.set(machine, { request, until: this.rt.now + this.rt.operator.window.holdAnswer });
    this.rt.after(this.rt.operator.window.holdAnswer, () => undefined);
  }

  /** The worker gave the older report up: its answer is worth nothing any more. */
  drop(machine: string, held: Held): void {
    const open = this.open.get(machine);
    if (!open) return;
    this.open.delete(machine);
    this.rt.reply(open.request, { status: 503, body: renderReportAnswer(held.token, []) });
  }

  /** Lets go what is due, or what has got orders. */
  release(held: Held | null): void {
    for (const [machine, open] of this.open) {
      const due = this.rt.now >= open.until || !held || this.term.closed;
      if (!due && !this.term.hasOrders(machine)) continue;
      this.open.delete(machine);
      if (!held || this.term.closed) {
        this.rt.reply(open.request, { status: 503, body: {} });
        continue;
      }
      const body = renderReportAnswer(held.token, this.term.ordersOf(machine));
      this.rt.reply(open.request, { status: 200, body, validUntil: held.validUntil });
    }
  }
}
