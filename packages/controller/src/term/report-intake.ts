/** What reports of workers tell a term: tasks that run, exited, or never arrived. */
import { splitTaskId, type Order, type TaskReport, type WorkerReport } from '@tealdock/wire';
import { NOTHING, need } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import { bindingKey, type Binding } from '../jobs/binding.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Bindings } from './bindings.js';
import type { EndedJobLookup } from './ended-job-lookup.js';
import type { Membership } from './membership.js';
import type { Orders } from './orders.js';
import type { TermState } from './term-state.js';

/** A machine on which so many tasks in a row failed is quarantined; so is a job. */
const MAX_FAILURES = 3;
const QUARANTINE = 120_000;
/** How long a machine is quarantined whose start never showed up; fourfold each time. */
const LOST_START_QUARANTINE = 3000;
const LOST_START_FACTOR = 4;
/** A job that fails everywhere is tried again after a second, then twice as late each time. */
const FIRST_BACKOFF = 1000;
const MAX_BACKOFF = 60_000;
/** A worker learns the token from the first answer that it hears. */
const MISSED_ANSWERS_PATIENCE = 8000;
/** Weight of the newest task in the learnt ratio of run times, and what it may tell at most. */
const RATIO_WEIGHT = 0.1;
const MAX_RATIO = 10;

/** What came of a report. */
export interface ReportOutcome {
  /** False for a report that is late, or made under another token. */
  counted: boolean;
  /** False if it must not get the answer that renews its lease. */
  answered: boolean;
  orders: Order[];
}
const UNANSWERED: ReportOutcome = { counted: false, answered: false, orders: [] };

/** Takes reports in. What a late one says, or one under another token, changes nothing. */
export class ReportIntake {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermState,
    private readonly bindings: Bindings,
    private readonly lookup: EndedJobLookup,
    private readonly orders: Orders,
    private readonly membership: Membership,
  ) {}

  /** Takes in a report; its answer may carry the orders. */
  report(report: WorkerReport): ReportOutcome {
    if (this.membership.isGone(report.machine)) return UNANSWERED;
    const machine = this.machineOf(report);
    if (this.missesAnswers(machine, report)) return UNANSWERED;
    // Its lease is renewed by the answer, whatever the report is worth otherwise.
    machine.lastHeard = this.runtime.now;
    // Tasks of a report sent before the worker saw this token may be outdated by
    // a start of the term before; a late report is outdated by a newer one.
    if (report.token !== this.term.fencingToken || !machine.isNewer(report))
      return this.uncounted(report);
    this.absorb(report);
    return { counted: true, answered: true, orders: this.orders.ordersFor(machine) };
  }

  /** It changes nothing, but the answer renews a lease: what is over has to stop. */
  private uncounted({ machine, tasks }: WorkerReport): ReportOutcome {
    return { counted: false, answered: true, orders: this.orders.stopsOfEnded(machine, tasks) };
  }

  /**
   * Its reports go on under an older token although they were answered under ours: it
   * hears nothing. Each answer would make its lease look renewed, and the whole fleet
   * would wait for it for as long as that lasts. Without answers its lease surely ends.
   */
  private missesAnswers(machine: Machine, report: WorkerReport): boolean {
    if (machine.resolved || report.token === this.term.fencingToken) return false;
    machine.answeredFrom ??= this.runtime.now;
    return this.runtime.now - machine.answeredFrom > MISSED_ANSWERS_PATIENCE;
  }

  private machineOf(report: WorkerReport): Machine {
    let machine = this.term.machines.get(report.machine);
    if (!machine) {
      machine = this.membership.newMachine(report.machine, report);
      // Not in the machine registry, so no term has ever sent a start to it.
      machine.resolved = true;
      this.term.machines.set(machine.id, machine);
    }
    machine.since = Math.min(machine.since, this.runtime.now);
    return machine;
  }

  private absorb(report: WorkerReport): void {
    const machine = this.machineOf(report);
    if (report.session > machine.session) this.bindings.endAll(machine, 'session ended');
    machine.session = report.session;
    machine.seq = report.seq;
    machine.addr = report.addr;
    machine.lastHeard ??= this.runtime.now;
    machine.lastCounted = this.runtime.now;
    machine.noticeUntil = report.notice === null ? null : this.runtime.now + report.notice;
    machine.resolved = true;
    machine.exited = report.tasks.filter((t) => t.state === 'exited');
    for (const t of report.tasks) this.absorbTask(machine, t);
    this.endMissing(machine, report);
    this.membership.join(machine);
  }

  private endMissing(machine: Machine, report: WorkerReport): void {
    const listed = new Set(report.tasks.map((t) => bindingKey(t.task, t.attempt)));
    let lost = false;
    for (const [key, binding] of [...machine.bindings]) {
      if (binding.phase === 'booked' || listed.has(key)) continue;
      lost ||= binding.phase === 'sent';
      this.bindings.end(binding, 'not on the machine');
    }
    if (lost) this.noteLostStart(machine);
  }

  /**
   * Reports of a machine may arrive while no answer reaches it. It then looks idle,
   * the best of volunteers, and would eat start after start.
   */
  private noteLostStart(machine: Machine): void {
    const quarantine = Math.min(
      QUARANTINE,
      LOST_START_QUARANTINE * LOST_START_FACTOR ** machine.lostStarts++,
    );
    machine.quarantinedUntil = Math.max(machine.quarantinedUntil, this.runtime.now + quarantine);
    this.runtime.env.log(
      'info',
      { machine: machine.id, lostStarts: machine.lostStarts, aside: quarantine },
      'start was lost',
    );
    this.bindings.unbookAll(machine);
  }

  private absorbTask(machine: Machine, t: TaskReport): void {
    const bound = machine.bindings.get(bindingKey(t.task, t.attempt));
    if (t.state === 'exited') return this.absorbExit(machine, t, bound);
    const binding = bound ?? this.adopt(machine, t);
    if (binding.phase === 'seen' && binding.state === t.state) return;
    machine.lostStarts = 0;
    binding.phase = 'seen';
    if (t.state !== 'fetching') this.noteStart(machine, binding);
    else if (this.term.jobs.get(binding.job)?.spec.kind === 'array')
      machine.noteMissing(binding, this.runtime.now);
    binding.state = t.state;
    machine.touch();
  }

  private noteStart(machine: Machine, binding: Binding): void {
    if (binding.image !== null) this.noteImage(machine, binding.image, binding.imageGb);
    if (binding.runningSince !== null) return;
    binding.runningSince = this.runtime.now;
    if (binding.phase === 'seen' && binding.sentSeq > 0) {
      this.runtime.stats.record('starts.booked_to_running_ms', this.runtime.now - binding.bookedAt);
    }
    this.runtime.env.log('debug', { task: binding.task, machine: machine.id }, 'task runs');
  }

  private noteImage(machine: Machine, image: string, gb: number): void {
    const fetch = machine.fetches.end(image, this.runtime.now);
    if (fetch) this.term.fetchSharing.note(fetch);
    machine.noteImage(image, gb);
  }

  private absorbExit(machine: Machine, t: TaskReport, bound: Binding | undefined): void {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
    if (bound) this.endExited(machine, bound, t);
    if (!job || !at || at.index >= job.spec.taskCount || t.reason !== 'done') return;
    job.markDone(at.index);
    const other = job.bound.get(at.index);
    if (other) this.bindings.discard(other, 'done elsewhere');
  }

  private endExited(machine: Machine, binding: Binding, t: TaskReport): void {
    const job = binding.foreign ? undefined : this.term.jobs.get(binding.job);
    if (t.reason === 'done') {
      machine.failures = 0;
      if (job) this.learn(job, binding);
    } else if (t.reason === 'error' || t.reason === 'unknown') {
      this.noteFailure(machine, job, t);
    }
    if (job && t.reason === 'done') job.markDone(binding.index);
    this.bindings.end(binding, t.reason ?? 'exited');
  }

  private learn(job: LiveJob, binding: Binding): void {
    job.failures = 0;
    if (binding.runningSince === null || job.spec.estimate <= 0) return;
    const ratio = (this.runtime.now - binding.runningSince) / job.spec.estimate;
    const known = this.term.ratios.get(job.spec.jobClass) ?? 1;
    this.term.ratios.set(
      job.spec.jobClass,
      known * (1 - RATIO_WEIGHT) + Math.min(ratio, MAX_RATIO) * RATIO_WEIGHT,
    );
  }

  /** Mostly the machine is at fault; a job with a mistake fails on every machine. */
  private noteFailure(machine: Machine, job: LiveJob | undefined, t: TaskReport): void {
    this.runtime.env.log(
      'info',
      { machine: machine.id, task: t.task, reason: t.reason },
      'task failed',
    );
    if (t.reason === 'error' && (job?.failures ?? 0) < MAX_FAILURES) machine.failures++;
    if (machine.failures >= MAX_FAILURES) machine.quarantinedUntil = this.runtime.now + QUARANTINE;
    if (!job) return;
    job.failures++;
    if (job.failures < MAX_FAILURES) return;
    job.backoffUntil =
      this.runtime.now + Math.min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** (job.failures - MAX_FAILURES));
  }

  /** A task found on a machine without a binding of this term. */
  private adopt(machine: Machine, t: TaskReport): Binding {
    const at = splitTaskId(t.task) ?? { job: t.task, index: 0 };
    const job = this.term.jobs.get(at.job);
    const wanted = job !== undefined && wants(job, at.index);
    const binding: Binding = {
      ...takes(job),
      task: t.task,
      job: at.job,
      index: at.index,
      attempt: t.attempt,
      machine: machine.id,
      phase: 'seen',
      bookedAt: this.runtime.now,
      sentSession: 0,
      sentSeq: 0,
      state: null,
      runningSince: null,
      stop: wanted ? null : { grace: 0, reason: 'not wanted' },
      sheltered: false,
      foreign: !wanted,
      goneBy: null,
    };
    this.bindings.bind(machine, binding);
    if (wanted) {
      job.bound.set(binding.index, binding);
      job.open.delete(binding.index);
    }
    if (!job) this.lookup.lookUp(binding);
    return binding;
  }
}

/** The task is one of the job's, and is neither done nor bound to another machine. */
function wants(job: LiveJob, index: number): boolean {
  return index < job.spec.taskCount && !job.isDone(index) && !job.bound.has(index);
}

/** What a task of the job takes; nothing where the job is not known, until it is looked up. */
function takes(job: LiveJob | undefined): Pick<Binding, 'team' | 'size' | 'image' | 'imageGb'> {
  if (!job) return { team: '', size: NOTHING, image: null, imageGb: 0 };
  const { team, image, imageGb } = job.spec;
  return { team, size: need(job.spec), image, imageGb };
}
