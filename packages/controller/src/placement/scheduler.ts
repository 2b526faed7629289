/** Runs scheduling cycles, which place waiting tasks on machines. */
import type { Duration, Instant } from '@tealdock/wire';
import { compareJobs } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import { machineTypeOf, type Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import { CapacityReservation } from './capacity-reservation.js';
import { Drain } from './drain.js';
import type { FleetPolicy, MachineTypes } from './fleet-policy.js';
import { JobPlacement } from './job-placement.js';
import { JobUrgency } from './job-urgency.js';
import { capacityOf, type MachineCapacity } from './machine-capacity.js';
import { SchedulingCycle } from './scheduling-cycle.js';
import { TeamCapacity } from './team-capacity.js';

const CYCLE_INTERVAL_MS = 100;
/** Used until all machines are reconciled, to leave more time for processing heartbeats. */
const RECONCILIATION_CYCLE_INTERVAL_MS = 400;
/** A machine may volunteer for this many intervals after a heartbeat, or for λ if longer. */
const RECENT_HEARTBEAT_FACTOR = 1.5;

/**
 * Places waiting tasks; runs on the leader only. When a task of a released job waits, a window
 * opens for it. Machines with a recent heartbeat and enough free capacity are its volunteers,
 * that is candidates. Each cycle assigns tasks whose window has closed, the most urgent job
 * first.
 */
export class Scheduler {
  private lastCycleAt: Instant = -Infinity;
  private readonly teams: TeamCapacity;
  private readonly urgency: JobUrgency;
  private readonly placement: JobPlacement;
  private readonly drain: Drain;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly catalog: MachineTypes,
    fleetPolicy: FleetPolicy,
  ) {
    const teams = new TeamCapacity(runtime, term, catalog);
    const urgency = new JobUrgency(runtime, term, catalog, teams);
    const reservation = new CapacityReservation(runtime, term, teams, urgency, fleetPolicy);
    this.teams = teams;
    this.urgency = urgency;
    this.placement = new JobPlacement(runtime, term, { teams, urgency, reservation, fleetPolicy });
    this.drain = new Drain(runtime, term);
  }

  /** Starts the periodic cycles, which run until the term ends. */
  start(): void {
    this.runtime.every(CYCLE_INTERVAL_MS, () => {
      if (!this.term.closed) this.runCycle();
      return !this.term.closed;
    });
  }

  private runCycle(): void {
    if (!this.term.stateLoaded) return;
    const sinceLastCycle = this.runtime.now - this.lastCycleAt;
    if (!this.term.allMachinesReconciled && sinceLastCycle < RECONCILIATION_CYCLE_INTERVAL_MS)
      return;
    this.lastCycleAt = this.runtime.now;
    this.term.liveJobs.graph.updateDemands();
    for (const job of this.term.jobs.values()) job.openWindows(this.runtime.now);
    if (!this.term.observedJobsLoaded) return;
    this.drain.run();
    this.placeWaitingJobs();
  }

  private placeWaitingJobs(): void {
    this.teams.beginCycle();
    const jobs = this.waitingJobs();
    if (jobs.length === 0) return;
    this.teams.refreshUnreconciled();
    const cycle = new SchedulingCycle(this.volunteerCapacities(), this.term, jobs);
    for (const job of jobs) if (!cycle.isAssignmentLimitReached) this.placement.place(job, cycle);
    this.recordCycle(cycle, jobs.length);
  }

  private recordCycle(cycle: SchedulingCycle, waitingJobCount: number): void {
    this.runtime.stats.count('passes');
    this.runtime.stats.count('passes.bookings', cycle.assignmentCount);
    this.runtime.stats.count('passes.room_plans', cycle.preemptionPlanCount);
    this.runtime.stats.record('passes.waiting_jobs', waitingJobCount);
  }

  /** Jobs with tasks that may be placed in this cycle, the most urgent first. */
  private waitingJobs(): LiveJob[] {
    const isReady = this.term.allMachinesReconciled;
    const waiting = [...this.term.jobs.values()].filter(
      (job) =>
        job.openTasks.count > 0 &&
        !job.backoff.isActive(this.runtime.now) &&
        this.term.mayPlace(job, isReady),
    );
    if (waiting.length === 0) return waiting;
    this.urgency.refreshGuaranteedJobs();
    const ranked = waiting.map((job) => ({ job, rank: this.urgency.rankOf(job) }));
    return ranked.sort((a, b) => compareJobs(a.rank, b.rank)).map(({ job }) => job);
  }

  /** Capacities of the machines that may volunteer in this cycle. */
  private volunteerCapacities(): MachineCapacity[] {
    const { operator, settings } = this.runtime;
    const recentHeartbeatTime = settings.heartbeatInterval * RECENT_HEARTBEAT_FACTOR;
    const maxHeartbeatAge = Math.max(operator.window.lambda, recentHeartbeatTime);
    const { types } = this.catalog;
    const capacities: MachineCapacity[] = [];
    for (const machine of this.term.machines.values()) {
      if (!this.mayVolunteer(machine, maxHeartbeatAge)) continue;
      const type = machineTypeOf(types, machine);
      if (type) capacities.push(capacityOf(machine, type));
    }
    return capacities;
  }

  private mayVolunteer(machine: Machine, maxHeartbeatAge: Duration): boolean {
    const { now } = this.runtime;
    const { heartbeats, registration, health } = machine;
    const { lastCountedAt, preemptionDeadline } = heartbeats;
    if (lastCountedAt === null || now - lastCountedAt > maxHeartbeatAge) return false;
    if (!registration.isRegistered || registration.isReturning) return false;
    return preemptionDeadline === null && !health.isQuarantined(now);
  }
}
