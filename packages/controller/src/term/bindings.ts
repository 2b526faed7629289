/** Which task is bound to which machine: bookings, stops, and ends by proof. */
import { taskId, type Instant } from '@tealdock/wire';
import { resourcesOf } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Leadership } from '../leadership/leadership.js';
import { bindingKey, type Binding, type StopRequest } from '../jobs/binding.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermState } from './term-state.js';

/** Attempts of one term to one task; their numbers never meet another term's. */
const ATTEMPTS_A_TERM = 65_536;

/**
 * The bindings of one term. A binding ends only with a proof that the task is not on its
 * machine any more (docs/safety.md, Bindings).
 */
export class Bindings {
  constructor(
    private readonly runtime: Runtime,
    private readonly leadership: Leadership,
    private readonly term: TermState,
  ) {}

  assign(job: LiveJob, index: number, machine: Machine, sheltered = false): void {
    const count = job.nextAttempt(index);
    if (count >= ATTEMPTS_A_TERM) return this.leadership.resign('attempt numbers used up');
    const binding: Binding = {
      task: taskId(job.id, index),
      job: job.id,
      index,
      attempt: this.term.fencingToken * ATTEMPTS_A_TERM + count,
      machine: machine.id,
      team: job.spec.team,
      resources: resourcesOf(job.spec),
      image: job.spec.image,
      imageGb: job.spec.imageGb,
      phase: 'assigned',
      assignedAt: this.runtime.now,
      dispatchedAgentEpoch: 0,
      dispatchedSequenceNumber: 0,
      state: null,
      runningSince: null,
      stopRequest: null,
      protectedFromPreemption: sheltered,
      orphaned: false,
      terminationDeadline: null,
    };
    this.bind(machine, binding);
    job.openTasks.delete(index);
    job.bindings.set(index, binding);
    this.term.dirtyMachines.add(machine.id);
  }

  bind(machine: Machine, binding: Binding): void {
    machine.bindings.set(bindingKey(binding.task, binding.attempt), binding);
    machine.invalidateSums();
    this.term.ledger.add(binding, machine.zone);
  }

  private unbind(binding: Binding): void {
    const machine = this.term.machines.get(binding.machine);
    if (machine?.bindings.delete(bindingKey(binding.task, binding.attempt))) {
      machine.invalidateSums();
      machine.fetches.keepOnly(machine.fetching, this.runtime.now);
      this.term.ledger.remove(binding, machine.zone);
    }
    const job = this.term.jobs.get(binding.job);
    if (job?.bindings.get(binding.index) === binding) {
      job.bindings.delete(binding.index);
      job.requeueTask(binding.index);
    }
  }

  /** Only with proof that the task is not on the machine any more. */
  end(binding: Binding, proof: string): void {
    this.runtime.env.log(
      'debug',
      { task: binding.task, attempt: binding.attempt, machine: binding.machine, proof },
      'binding ended',
    );
    this.runtime.stats.count(`bindings.ended.${proof}`);
    this.unbind(binding);
  }

  endDispatched(machine: Machine, proof: string): void {
    for (const b of [...machine.bindings.values()]) if (b.phase !== 'assigned') this.end(b, proof);
  }

  releaseUndispatched(machine: Machine): void {
    for (const b of [...machine.bindings.values()]) if (b.phase === 'assigned') this.unbind(b);
  }

  /** No longer wanted: an unsent booking goes at once, anything else is killed and counted. */
  discard(binding: Binding, reason: string): void {
    if (binding.phase === 'assigned') return this.unbind(binding);
    binding.orphaned = true;
    this.requestStop(binding, { gracePeriod: 0, reason });
  }

  /** Its job is over since then, as far as known: the task must be gone within `cancel_s`. */
  setTerminationDeadline(binding: Binding, since: Instant): void {
    binding.terminationDeadline ??= since + this.runtime.settings.cancellationLimit;
  }

  /** Has a task stopped by the next answer to its machine. */
  requestStop(binding: Binding, wish: StopRequest): void {
    this.term.ledger.change(binding, () => (binding.stopRequest = wish));
    this.term.machines.get(binding.machine)?.invalidateSums();
    this.term.dirtyMachines.add(binding.machine);
  }

  /** True while something is booked there that no answer has carried yet. */
  hasUndispatched(machineId: string): boolean {
    const machine = this.term.machines.get(machineId);
    if (machine) for (const b of machine.bindings.values()) if (b.phase === 'assigned') return true;
    return false;
  }
}
