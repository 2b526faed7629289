/** Bindings of tasks to machines: assignment, adoption, stop requests and proven ends. */
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

/** Size of a term's range of attempt numbers for one task; ranges of two terms never overlap. */
const MAX_TERM_ATTEMPT_COUNT = 65_536;

/** A task that a heartbeat lists as not exited. */
interface ActiveTask {
  readonly task: string;
  readonly attempt: number;
  readonly state: ActiveTaskState;
}

/** The parts of a term that bindings read, and the ledger and marks that they update. */
export interface BindingContext {
  readonly fencingToken: number;
  readonly jobs: ReadonlyMap<string, LiveJob>;
  readonly machines: ReadonlyMap<string, Machine>;
  readonly ledger: UsageLedger;
  readonly dirtyMachines: DirtyMachines;
}

/**
 * The bindings of one term, and the only code that updates the sums over them. Once dispatched, a
 * binding ends only with proof that its task is no longer on the machine (docs/safety.md,
 * Bindings).
 */
export class Bindings implements BindingObserver {
  constructor(
    private readonly runtime: Runtime,
    private readonly leadership: Leadership,
    private readonly term: BindingContext,
  ) {}

  /** Assigns a task to a machine. The machine's next heartbeat response may carry the start. */
  assign(job: LiveJob, index: number, machine: Machine, isProtectedFromPreemption = false): void {
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
    const binding = Binding.assigned(initial, isProtectedFromPreemption);
    this.bindToMachine(machine, binding);
    job.bind(binding);
    this.term.dirtyMachines.add(machine.id);
  }

  /**
   * Binds a task that a heartbeat lists but that this term has not assigned. If no live job needs
   * the task, the binding is orphaned and the task is stopped.
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

  /** Ends a binding. To be called only with proof that the task is no longer on the machine. */
  end(binding: Binding, proof: string): void {
    this.runtime.log(
      'debug',
      { task: binding.task, attempt: binding.attempt, machine: binding.machine, proof },
      'binding ended',
    );
    this.runtime.stats.count(`bindings.ended.${proof}`);
    this.unbind(binding);
  }

  /** Ends all bindings of the machine except the undispatched ones; needs proof as `end` does. */
  endDispatched(machine: Machine, proof: string): void {
    for (const binding of [...machine.bindings.values()])
      if (!binding.isAssigned) this.end(binding, proof);
  }

  /** Unbinds the tasks that are assigned to the machine but not dispatched. */
  releaseUndispatched(machine: Machine): void {
    for (const binding of [...machine.bindings.values()])
      if (binding.isAssigned) this.unbind(binding);
  }

  /**
   * Drops a binding that is no longer needed. It is unbound if undispatched; otherwise its task is
   * stopped, and counted until it is proven to have left its machine.
   */
  discard(binding: Binding, reason: string): void {
    if (binding.isAssigned) return this.unbind(binding);
    binding.orphan();
    this.requestStop(binding, { gracePeriod: 0, reason });
  }

  /** The task must have ended within the cancellation limit after its job's end at `endedAt`. */
  setTerminationDeadline(binding: Binding, endedAt: Instant): void {
    binding.setTerminationDeadline(endedAt + this.runtime.settings.cancellationLimit);
  }

  /** Requests a stop; heartbeat responses carry it once the task is observed. */
  requestStop(binding: Binding, request: StopRequest): void {
    binding.requestStop(request);
    this.term.dirtyMachines.add(binding.machine);
  }

  /** True while the machine has assigned tasks whose start has not been dispatched. */
  hasUndispatched(machineId: string): boolean {
    const machine = this.term.machines.get(machineId);
    if (machine)
      for (const binding of machine.bindings.values()) if (binding.isAssigned) return true;
    return false;
  }

  /** Marks the machine dirty if it has undispatched starts; called when they may be allowed now. */
  markDirtyIfUndispatched(machineId: string): void {
    if (this.hasUndispatched(machineId)) this.term.dirtyMachines.add(machineId);
  }

  /** To be called only by `Binding`, when its usage changes. */
  applyUsageChange(binding: Binding, apply: () => void): void {
    this.term.ledger.applyChange(binding, apply);
    this.term.machines.get(binding.machine)?.usage.invalidate();
  }

  /** To be called only by `Binding`, when the state of its task changes. */
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
