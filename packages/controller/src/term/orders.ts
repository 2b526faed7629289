/** The orders that go to a worker in the answer to its report. */
import {
  splitTaskId,
  type Duration,
  type MachineType,
  type Order,
  type TaskReport,
} from '@tealdock/wire';
import { NOTHING, fits, least, need, type Resources } from '@tealdock/scheduler';
import type { Authority } from '../authority/authority.js';
import { evidenceFields, type Decision } from '../authority/decision.js';
import type { Invariant, Invariants, Violation } from '../authority/invariants.js';
import type { Binding } from '../jobs/binding.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermState } from './term-state.js';

/** Why a task is stopped that no binding of this term tells of. */
const NOT_LIVE = 'job not live';

/** Starts, stops and forgets. Starts leave nowhere else (docs/safety.md, Starts). */
export class Orders {
  /** Less than this is asked for by no task of a live job. */
  private smallest: Resources = NOTHING;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermState,
    private readonly authority: Authority,
    private readonly invariants: Invariants,
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
      if (binding.phase === 'booked' ? this.mayStart(machine) : this.stopOrder(binding) !== null)
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
    let booked = 0;
    for (const binding of machine.bindings.values()) {
      if (binding.phase === 'booked') booked++;
      else this.checkEnding(binding);
      const stop = this.stopOrder(binding);
      if (stop) orders.push(stop);
    }
    if (booked > 0) orders.push(...this.startsFor(machine));
    return orders;
  }

  /**
   * Stops for a report that changes nothing, since it is late or was made under another token.
   * Its answer renews the worker's lease all the same, so it must stop what is over.
   */
  stopsOfEnded(machine: string, tasks: TaskReport[]): Order[] {
    return tasks
      .filter((t) => t.state !== 'exited' && this.authority.mayStop(jobOf(t.task)))
      .map(({ task, attempt }) => {
        this.runtime.stats.count('stops.uncounted');
        this.runtime.env.log('debug', { task, attempt, machine, reason: NOT_LIVE }, 'stop sent');
        return { op: 'stop', task, attempt, grace: 0 };
      });
  }

  private startsFor(machine: Machine): Order[] {
    const decision = this.authority.start(machine);
    if (!decision.granted) {
      this.runtime.stats.count(`starts.refused.${decision.reason}`);
      const fields = { machine: machine.id, reason: decision.reason };
      const evidence = evidenceFields(decision.evidence);
      this.runtime.env.log('debug', { ...fields, ...evidence }, 'starts refused');
      return [];
    }
    this.runtime.stats.record('evidence.start_age_ms', decision.evidence.age);
    const orders: Order[] = [];
    for (const binding of machine.bindings.values()) {
      if (binding.phase !== 'booked' || this.startsEndedJob(binding)) continue;
      orders.push(this.sendStart(machine, binding, decision));
    }
    return orders;
  }

  private sendStart(machine: Machine, binding: Binding, decision: Decision): Order {
    binding.phase = 'sent';
    binding.sentSession = machine.session;
    binding.sentSeq = machine.seq;
    machine.noteStartSent(binding, this.runtime.now);
    this.runtime.stats.record('starts.booked_to_sent_ms', this.runtime.now - binding.bookedAt);
    this.runtime.env.log(
      'debug',
      {
        task: binding.task,
        attempt: binding.attempt,
        machine: machine.id,
        ...evidenceFields(decision.evidence),
      },
      'start sent',
    );
    return { op: 'start', task: binding.task, attempt: binding.attempt };
  }

  stopOrder(binding: Binding): Order | null {
    if (!binding.stop || binding.phase !== 'seen') return null;
    if (binding.state === 'saving' && binding.stop.grace > 0) return null;
    return { op: 'stop', task: binding.task, attempt: binding.attempt, grace: binding.stop.grace };
  }

  // --- invariants --------------------------------------------------------------

  /** Bookings of a job go with it, so none can be left for a job that has ended. */
  private startsEndedJob(binding: Binding): boolean {
    const job = this.term.jobs.get(binding.job);
    if (job && !job.predecessorCancelled && job.released !== null) return false;
    this.report('started_ended_job', binding);
    return true;
  }

  /** A task of a job that is not live is being stopped, and is gone in time. */
  private checkEnding(binding: Binding): void {
    if (!binding.stop && binding.phase === 'seen' && this.authority.mayStop(binding.job))
      this.report('renewed_without_stop', binding);
    this.invariants.checkGone(binding, () => this.violationOf(binding));
  }

  private report(invariant: Invariant, binding: Binding): void {
    this.invariants.violated(invariant, this.violationOf(binding));
  }

  private violationOf({ job, task, machine }: Binding): Violation {
    const { evidence } = this.authority.renewal();
    const { evidence: source = 'none', ageMs = null } = evidenceFields(evidence);
    return { job, task, machine, token: this.term.fencingToken, evidence: source, ageMs };
  }

  private forgettable(t: TaskReport): boolean {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
    if (!job || !at || t.reason !== 'done') return true;
    return job.isDone(at.index) && !job.uncommitted.has(at.index);
  }

  private mayStart(machine: Machine): boolean {
    return this.authority.start(machine).granted;
  }
}

const jobOf = (task: string): string => splitTaskId(task)?.job ?? task;
