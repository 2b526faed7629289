/** Which task is bound to which machine: bookings, stops, and ends by proof. */
import { taskId } from '@tealdock/wire';
import { need } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Leadership } from '../leadership/leadership.js';
import { bindingKey, type Binding, type Machine, type StopWish } from '../machines/machine.js';
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

  book(job: LiveJob, index: number, m: Machine, sheltered = false): void {
    const count = job.nextAttempt(index);
    if (count >= ATTEMPTS_A_TERM) return this.leadership.resign('attempt numbers used up');
    const b: Binding = {
      task: taskId(job.id, index),
      job: job.id,
      index,
      attempt: this.term.fencingToken * ATTEMPTS_A_TERM + count,
      machine: m.id,
      team: job.spec.team,
      size: need(job.spec),
      image: job.spec.image,
      imageGb: job.spec.imageGb,
      phase: 'booked',
      bookedAt: this.runtime.now,
      sentSession: 0,
      sentSeq: 0,
      state: null,
      runningSince: null,
      stop: null,
      sheltered,
      foreign: false,
    };
    this.bind(m, b);
    job.open.delete(index);
    job.bound.set(index, b);
    this.term.dirtyMachines.add(m.id);
  }

  bind(m: Machine, b: Binding): void {
    m.bindings.set(bindingKey(b.task, b.attempt), b);
    m.touch();
    this.term.ledger.add(b, m.zone);
  }

  private unbind(b: Binding): void {
    const m = this.term.machines.get(b.machine);
    if (m?.bindings.delete(bindingKey(b.task, b.attempt))) {
      m.touch();
      m.fetches.keepOnly(m.fetching, this.runtime.now);
      this.term.ledger.remove(b, m.zone);
    }
    const job = this.term.jobs.get(b.job);
    if (job?.bound.get(b.index) === b) {
      job.bound.delete(b.index);
      job.giveBack(b.index);
    }
  }

  /** Only with proof that the task is not on the machine any more. */
  end(b: Binding, proof: string): void {
    this.runtime.env.log(
      'debug',
      { task: b.task, attempt: b.attempt, machine: b.machine, proof },
      'binding ended',
    );
    this.runtime.stats.count(`bindings.ended.${proof}`);
    this.unbind(b);
  }

  endAll(m: Machine, proof: string): void {
    for (const b of [...m.bindings.values()]) if (b.phase !== 'booked') this.end(b, proof);
  }

  unbookAll(m: Machine): void {
    for (const b of [...m.bindings.values()]) if (b.phase === 'booked') this.unbind(b);
  }

  /** No longer wanted: an unsent booking goes at once, anything else is killed and counted. */
  discard(binding: Binding, reason: string): void {
    if (binding.phase === 'booked') return this.unbind(binding);
    binding.foreign = true;
    this.stop(binding, { grace: 0, reason });
  }

  /** Has a task stopped by the next answer to its machine. */
  stop(binding: Binding, wish: StopWish): void {
    this.term.ledger.change(binding, () => (binding.stop = wish));
    this.term.machines.get(binding.machine)?.touch();
    this.term.dirtyMachines.add(binding.machine);
  }

  /** True while something is booked there that no answer has carried yet. */
  awaitsStart(machine: string): boolean {
    const m = this.term.machines.get(machine);
    if (m) for (const b of m.bindings.values()) if (b.phase === 'booked') return true;
    return false;
  }
}
