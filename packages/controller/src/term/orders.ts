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
import type { Binding } from '../jobs/binding.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EndedJobLookup } from './ended-job-lookup.js';
import type { JobWatch } from './job-watch.js';
import type { TermState } from './term-state.js';

/** A start leaves only while the known cancellations are at most this stale. */
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
  hasOrders(machineId: string): boolean {
    const machine = this.term.machines.get(machineId);
    if (!machine) return true;
    for (const binding of machine.bindings.values()) {
      if (binding.phase === 'booked' ? this.canStart(machine) : this.stopOrder(binding) !== null)
        return true;
    }
    return false;
  }

  ordersOf(machineId: string): Order[] {
    const machine = this.term.machines.get(machineId);
    return machine ? this.ordersFor(machine) : [];
  }

  /**
   * How long an answer without orders may be kept back: a machine with free room
   * may get a start, while the end of a task on a full one should not wait for it.
   */
  holdFor(machineId: string, type: MachineType): Duration {
    const machine = this.term.machines.get(machineId);
    if (!machine || machine.returning || machine.noticeUntil !== null) return 0;
    return fits(this.smallest, machine.free(type)) ? this.runtime.operator.window.holdAnswer : 0;
  }

  /** Orders that the worker's newest report calls for; starts leave only here. */
  ordersFor(machine: Machine): Order[] {
    const orders: Order[] = [];
    for (const t of machine.exited) {
      if (this.forgettable(t)) orders.push({ op: 'forget', task: t.task, attempt: t.attempt });
    }
    for (const binding of machine.bindings.values()) {
      const stop = this.stopOrder(binding);
      if (stop) orders.push(stop);
    }
    if (!this.canStart(machine)) return orders;
    for (const binding of machine.bindings.values()) {
      if (binding.phase !== 'booked') continue;
      binding.phase = 'sent';
      binding.sentSession = machine.session;
      binding.sentSeq = machine.seq;
      machine.noteStartSent(binding, this.runtime.now);
      orders.push({ op: 'start', task: binding.task, attempt: binding.attempt });
      this.runtime.stats.record('starts.booked_to_sent_ms', this.runtime.now - binding.bookedAt);
      this.runtime.env.log(
        'debug',
        { task: binding.task, attempt: binding.attempt, machine: machine.id },
        'start sent',
      );
    }
    return orders;
  }

  stopOrder(binding: Binding): Order | null {
    if (!binding.stop || binding.phase !== 'seen') return null;
    if (binding.state === 'saving' && binding.stop.grace > 0) return null;
    return { op: 'stop', task: binding.task, attempt: binding.attempt, grace: binding.stop.grace };
  }

  private forgettable(t: TaskReport): boolean {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
    if (!job || !at || t.reason !== 'done') return true;
    return job.isDone(at.index) && !job.uncommitted.has(at.index);
  }

  private canStart(machine: Machine): boolean {
    return (
      machine.registered &&
      machine.resolved &&
      !machine.returning &&
      this.lookup.settled &&
      this.runtime.now - this.watch.knownTo <= MAX_STALENESS_OF_STARTS &&
      this.leadership.held() !== null
    );
  }
}
