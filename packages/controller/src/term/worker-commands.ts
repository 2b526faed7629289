/** The orders that go to a worker in the answer to its report. */
import {
  splitTaskId,
  type Duration,
  type MachineType,
  type WorkerCommand,
  type TaskStatus,
} from '@tealdock/wire';
import { NO_RESOURCES, fits, minResources, resourcesOf, type Resources } from '@tealdock/scheduler';
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
export class WorkerCommands {
  /** Less than this is asked for by no task of a live job. */
  private smallest: Resources = NO_RESOURCES;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermState,
    private readonly authority: Authority,
    private readonly invariants: Invariants,
  ) {}

  /** Takes in what the smallest task of a live job needs. */
  updateSmallestTask(): void {
    const needs = [...this.term.jobs.values()].map((job) => resourcesOf(job.spec));
    this.smallest = needs.length > 0 ? needs.reduce(minResources) : NO_RESOURCES;
  }

  /** True if an answer to the machine's newest report would carry orders by now. */
  hasPendingCommands(machineId: string): boolean {
    const machine = this.term.machines.get(machineId);
    if (!machine) return true;
    for (const binding of machine.bindings.values()) {
      if (binding.isAssigned ? this.mayStart(machine) : this.stopCommandFor(binding) !== null)
        return true;
    }
    return false;
  }

  commandsFor(machineId: string): WorkerCommand[] {
    const machine = this.term.machines.get(machineId);
    return machine ? this.collectCommands(machine) : [];
  }

  /**
   * How long an answer without orders may be kept back: a machine with free room
   * may get a start, while the end of a task on a full one should not wait for it.
   */
  longPollTimeoutOf(machineId: string, type: MachineType): Duration {
    const machine = this.term.machines.get(machineId);
    if (
      !machine ||
      machine.registration.isReturning ||
      machine.heartbeats.preemptionDeadline !== null
    )
      return 0;
    return fits(this.smallest, machine.free(type))
      ? this.runtime.operator.window.longPollTimeout
      : 0;
  }

  /** Orders that the worker's newest report calls for; starts leave only here. */
  collectCommands(machine: Machine): WorkerCommand[] {
    const orders: WorkerCommand[] = [];
    for (const t of machine.heartbeats.exitedTasks) {
      if (this.forgettable(t)) orders.push({ op: 'forget', task: t.task, attempt: t.attempt });
    }
    let booked = 0;
    for (const binding of machine.bindings.values()) {
      if (binding.isAssigned) booked++;
      else this.checkEnding(binding);
      const stop = this.stopCommandFor(binding);
      if (stop) orders.push(stop);
    }
    if (booked > 0) orders.push(...this.startsFor(machine));
    return orders;
  }

  /**
   * Stops for a report that changes nothing, since it is late or was made under another token.
   * Its answer renews the worker's lease all the same, so it must stop what is over.
   */
  stopsForEndedJobs(machine: string, tasks: TaskStatus[]): WorkerCommand[] {
    return tasks
      .filter((t) => t.state !== 'exited' && this.authority.mayStop(jobOf(t.task)))
      .map(({ task, attempt }) => {
        this.runtime.stats.count('stops.uncounted');
        this.runtime.env.log(
          'debug',
          { task, attempt, machine, reason: NOT_LIVE },
          'stop dispatched',
        );
        return { op: 'stop', task, attempt, gracePeriod: 0 };
      });
  }

  private startsFor(machine: Machine): WorkerCommand[] {
    const decision = this.authority.start(machine.registration);
    if (!decision.granted) {
      this.runtime.stats.count(`starts.refused.${decision.reason}`);
      const fields = { machine: machine.id, reason: decision.reason };
      const evidence = evidenceFields(decision.evidence);
      this.runtime.env.log('debug', { ...fields, ...evidence }, 'starts refused');
      return [];
    }
    this.runtime.stats.record('evidence.start_age_ms', decision.evidence.age);
    const orders: WorkerCommand[] = [];
    for (const binding of machine.bindings.values()) {
      if (!binding.isAssigned || this.startsEndedJob(binding)) continue;
      orders.push(this.dispatchStart(machine, binding, decision));
    }
    return orders;
  }

  private dispatchStart(machine: Machine, binding: Binding, decision: Decision): WorkerCommand {
    binding.dispatch(machine.heartbeats.sequenceNumber);
    machine.recordStartDispatched(binding, this.runtime.now);
    this.runtime.stats.record('starts.booked_to_sent_ms', this.runtime.now - binding.assignedAt);
    this.runtime.env.log(
      'debug',
      {
        task: binding.task,
        attempt: binding.attempt,
        machine: machine.id,
        ...evidenceFields(decision.evidence),
      },
      'start dispatched',
    );
    return { op: 'start', task: binding.task, attempt: binding.attempt };
  }

  stopCommandFor(binding: Binding): WorkerCommand | null {
    if (!binding.stopRequest || !binding.isObserved) return null;
    if (binding.taskState === 'saving' && binding.stopRequest.gracePeriod > 0) return null;
    return {
      op: 'stop',
      task: binding.task,
      attempt: binding.attempt,
      gracePeriod: binding.stopRequest.gracePeriod,
    };
  }

  // --- invariants --------------------------------------------------------------

  /** Bookings of a job go with it, so none can be left for a job that has ended. */
  private startsEndedJob(binding: Binding): boolean {
    const job = this.term.jobs.get(binding.job);
    if (job && !job.dependencies.hasCancelledPredecessor && job.dependencies.isReleased)
      return false;
    this.report('started_ended_job', binding);
    return true;
  }

  /** A task of a job that is not live is being stopped, and is gone in time. */
  private checkEnding(binding: Binding): void {
    if (!binding.stopRequest && binding.isObserved && this.authority.mayStop(binding.job))
      this.report('renewed_without_stop', binding);
    this.invariants.checkGone(binding, () => this.violationOf(binding));
  }

  private report(invariant: Invariant, binding: Binding): void {
    this.invariants.violated(invariant, this.violationOf(binding));
  }

  private violationOf({ job, task, machine }: Binding): Violation {
    const { evidence } = this.authority.renewal();
    const { evidence: source = 'none', ageMs = null } = evidenceFields(evidence);
    return { job, task, machine, fencingToken: this.term.fencingToken, evidence: source, ageMs };
  }

  private forgettable(t: TaskStatus): boolean {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
    if (!job || !at || t.reason !== 'done') return true;
    return job.progress.isCommitted(at.index);
  }

  private mayStart(machine: Machine): boolean {
    return this.authority.start(machine.registration).granted;
  }
}

const jobOf = (task: string): string => splitTaskId(task)?.job ?? task;
