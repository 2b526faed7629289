/** The orders that go to a worker in the answer to its report. */
import {
  splitTaskId,
  type Duration,
  type MachineType,
  type Order,
  type TaskReport,
} from '@tealdock/wire';
import { NOTHING, fits, least, need, type Resources } from '@tealdock/scheduler';
import type { Leadership } from '../leadership/leadership.js';
import type { Binding, Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EndedJobLookup } from './ended-job-lookup.js';
import type { JobWatch } from './job-watch.js';
import type { TermState } from './term-state.js';

/** A start leaves only while the news of cancellations is at most this old. */
const MAX_STALENESS_OF_STARTS = 2000;

/** Starts, stops and forgets. Starts leave nowhere else (docs/safety.md, Starts). */
export class Orders {
  /** Less than this is asked for by no task of a live job. */
  private smallest: Resources = NOTHING;

  constructor(
    private readonly runtime: Runtime,
    private readonly leadership: Leadership,
    private readonly term: TermState,
    private readonly lookup: EndedJobLookup,
    private readonly watch: JobWatch,
  ) {}

  /** Takes in what the smallest task of a live job needs. */
  updateSmallest(): void {
    const needs = [...this.term.jobs.values()].map((job) => need(job.spec));
    this.smallest = needs.length > 0 ? needs.reduce(least) : NOTHING;
  }

  /** True if an answer to the machine's newest report would carry orders by now. */
  hasOrders(machine: string): boolean {
    const m = this.term.machines.get(machine);
    if (!m) return true;
    for (const b of m.bindings.values()) {
      if (b.phase === 'booked' ? this.canStart(m) : this.stopOrder(b) !== null) return true;
    }
    return false;
  }

  ordersOf(machine: string): Order[] {
    const m = this.term.machines.get(machine);
    return m ? this.ordersFor(m) : [];
  }

  /**
   * How long an answer without orders may be kept back: a machine with free room
   * may get a start, while the news of a full one should not wait for it.
   */
  holdFor(machine: string, type: MachineType): Duration {
    const m = this.term.machines.get(machine);
    if (!m || m.returning || m.noticeUntil !== null) return 0;
    return fits(this.smallest, m.free(type)) ? this.runtime.operator.window.holdAnswer : 0;
  }

  /** Orders that the worker's newest report calls for; starts leave only here. */
  ordersFor(m: Machine): Order[] {
    const orders: Order[] = [];
    for (const t of m.exited) {
      if (this.forgettable(t)) orders.push({ op: 'forget', task: t.task, attempt: t.attempt });
    }
    for (const b of m.bindings.values()) {
      const stop = this.stopOrder(b);
      if (stop) orders.push(stop);
    }
    if (!this.canStart(m)) return orders;
    for (const b of m.bindings.values()) {
      if (b.phase !== 'booked') continue;
      b.phase = 'sent';
      b.sentSession = m.session;
      b.sentSeq = m.seq;
      m.noteStartSent(b, this.runtime.now);
      orders.push({ op: 'start', task: b.task, attempt: b.attempt });
      this.runtime.stats.record('starts.booked_to_sent_ms', this.runtime.now - b.bookedAt);
      this.runtime.env.log(
        'debug',
        { task: b.task, attempt: b.attempt, machine: m.id },
        'start sent',
      );
    }
    return orders;
  }

  stopOrder(b: Binding): Order | null {
    if (!b.stop || b.phase !== 'seen') return null;
    if (b.state === 'saving' && b.stop.grace > 0) return null;
    return { op: 'stop', task: b.task, attempt: b.attempt, grace: b.stop.grace };
  }

  private forgettable(t: TaskReport): boolean {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
    if (!job || !at || t.reason !== 'done') return true;
    return job.isDone(at.index) && !job.uncommitted.has(at.index);
  }

  private canStart(m: Machine): boolean {
    return (
      m.registered &&
      m.resolved &&
      !m.returning &&
      this.lookup.settled &&
      this.runtime.now - this.watch.knownTo <= MAX_STALENESS_OF_STARTS &&
      this.leadership.held() !== null
    );
  }
}
