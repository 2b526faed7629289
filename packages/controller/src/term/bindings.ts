/** Which task is bound to which machine: assignments, stop requests, and ends by proof. */
import { splitTaskId, taskId, type Instant } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';
import type { Leadership } from '../leadership/leadership.js';
import { Binding, bindingKey, type BindingObserver, type StopRequest } from '../jobs/binding.js';
import type { ActiveTaskState } from '../jobs/binding-phase.js';
import { UNKNOWN_REQUIREMENTS, requirementsOf } from '../jobs/task-requirements.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { UsageLedger } from '../machines/usage-ledger.js';
import type { DirtyMachines } from './dirty-machines.js';

/** Attempts of one term at one task; their numbers never meet another term's. */
const MAX_TERM_ATTEMPT_COUNT = 65_536;

/** A task that a heartbeat shows and that has not exited. */
interface ActiveTask {
  readonly task: string;
  readonly attempt: number;
  readonly state: ActiveTaskState;
}

/** What bindings read of a term, and the sums and marks that only they change. */
export interface BindingContext {
  readonly fencingToken: number;
  readonly jobs: ReadonlyMap<string, LiveJob>;
  readonly machines: ReadonlyMap<string, Machine>;
  readonly ledger: UsageLedger;
  readonly dirtyMachines: DirtyMachines;
}

/**
 * The bindings of one term, and the only writer of the sums over them. A binding ends only
 * with a proof that the task is not on its machine any more (docs/safety.md, Bindings).
 */
export class Bindings implements BindingObserver {
  constructor(
    private readonly runtime: Runtime,
    private readonly leadership: Leadership,
    private readonly term: BindingContext,
  ) {}

  /** Gives a task to a machine. Its start leaves with the machine's next response. */
  assign(job: LiveJob, index: number, machine: Machine, isProtected = false): void {
    const count = job.nextAttempt(index);
    if (count >= MAX_TERM_ATTEMPT_COUNT) return this.leadership.resign('attempt numbers used up');
    const attempt = this.term.fencingToken * MAX_TERM_ATTEMPT_COUNT + count;
    const identity = {
      task: taskId(job.id, index),
      job: job.id,
      index,
      attempt,
      machine: machine.id,
    };
    const initial = {
      identity,
      requirements: requirementsOf(job.spec),
      now: this.runtime.now,
      observer: this,
    };
    const binding = Binding.assigned(initial, isProtected);
    this.bindToMachine(machine, binding);
    job.bind(binding);
    this.term.dirtyMachines.add(machine.id);
  }

  /**
   * Binds a task that a heartbeat shows, and that this term has not assigned. One that no
   * live job needs is orphaned and stopped.
   */
  adopt(machine: Machine, { task, attempt, state }: ActiveTask): Binding {
    const { job: jobId, index } = splitTaskId(task) ?? { job: task, index: 0 };
    const job = this.term.jobs.get(jobId);
    const isNeeded = job !== undefined && job.needsTask(index);
    const initial = {
      identity: { task, job: jobId, index, attempt, machine: machine.id },
      requirements: job ? requirementsOf(job.spec) : UNKNOWN_REQUIREMENTS,
      now: this.runtime.now,
      observer: this,
    };
    const binding = Binding.adopted(initial, state, isNeeded);
    this.bindToMachine(machine, binding);
    if (isNeeded) job.bind(binding);
    return binding;
  }

  /** False once the binding has ended. */
  isBound(binding: Binding): boolean {
    const machine = this.term.machines.get(binding.machine);
    return machine?.bindings.get(bindingKey(binding.task, binding.attempt)) === binding;
  }

  /** Only with proof that the task is not on the machine any more. */
  end(binding: Binding, proof: string): void {
    this.runtime.log(
      'debug',
      { task: binding.task, attempt: binding.attempt, machine: binding.machine, proof },
      'binding ended',
    );
    this.runtime.stats.count(`bindings.ended.${proof}`);
    this.unbind(binding);
  }

  /** Ends all of a machine whose start may have reached it. */
  endDispatched(machine: Machine, proof: string): void {
    for (const binding of [...machine.bindings.values()])
      if (!binding.isAssigned) this.end(binding, proof);
  }

  /** Takes back what was assigned to a machine and has not been dispatched. */
  releaseUndispatched(machine: Machine): void {
    for (const binding of [...machine.bindings.values()])
      if (binding.isAssigned) this.unbind(binding);
  }

  /** No longer wanted: released if not dispatched, else stopped and counted until it is gone. */
  discard(binding: Binding, reason: string): void {
    if (binding.isAssigned) return this.unbind(binding);
    binding.orphan();
    this.requestStop(binding, { gracePeriod: 0, reason });
  }

  /** The job ended at `endedAt`, as far as known: the task must be gone within the limit. */
  setTerminationDeadline(binding: Binding, endedAt: Instant): void {
    binding.setTerminationDeadline(endedAt + this.runtime.settings.cancellationLimit);
  }

  /** Has a task stopped by the next response to its machine. */
  requestStop(binding: Binding, request: StopRequest): void {
    binding.requestStop(request);
    this.term.dirtyMachines.add(binding.machine);
  }

  /** True while something is assigned to the machine that no response has carried yet. */
  hasUndispatched(machineId: string): boolean {
    const machine = this.term.machines.get(machineId);
    if (machine)
      for (const binding of machine.bindings.values()) if (binding.isAssigned) return true;
    return false;
  }

  /** Marks the machine dirty if it has a start to get, since starts that had to wait may leave. */
  markDirtyIfUndispatched(machineId: string): void {
    if (this.hasUndispatched(machineId)) this.term.dirtyMachines.add(machineId);
  }

  /** For bindings only: their transitions call it. */
  applyUsageChange(binding: Binding, apply: () => void): void {
    this.term.ledger.applyChange(binding, apply);
    this.term.machines.get(binding.machine)?.usage.invalidate();
  }

  /** For bindings only: their transitions call it. */
  onTaskStateChanged(binding: Binding): void {
    this.term.machines.get(binding.machine)?.usage.invalidate();
  }

  private bindToMachine(machine: Machine, binding: Binding): void {
    machine.bind(binding);
    this.term.ledger.add(binding, machine.zone);
  }

  private unbind(binding: Binding): void {
    const machine = this.term.machines.get(binding.machine);
    if (machine?.unbind(binding, this.runtime.now)) this.term.ledger.remove(binding, machine.zone);
    this.term.jobs.get(binding.job)?.unbind(binding);
  }
}
