/** Steps that many scenarios share. */
import assert from 'node:assert/strict';
import type { Reply } from '@tealdock/controller';
import type { FakeWorker } from '../fakes/fake-worker.js';
import { job } from '../simulation/small-job.js';
import type { ClusterOptions } from '../simulation/cluster-options.js';
import { SimulatedCluster } from '../simulation/simulated-cluster.js';

/** Id of the job with this number. */
export const jobId = (n: number): string => `run-${String(n).padStart(6, '0')}`;

/** Id of a scenario's first job, `job(1)`. */
export const JOB1 = jobId(1);
/** Id of a scenario's second job, `job(2)`. */
export const JOB2 = jobId(2);

/** A cluster with an elected leader and this many machines, in zones `a` and `b` in turn. */
export function readyCluster(options: ClusterOptions = {}, machineCount = 2): SimulatedCluster {
  const cluster = new SimulatedCluster(options);
  for (let i = 0; i < machineCount; i++) cluster.cloud.addMachine(i % 2 === 0 ? 'a' : 'b');
  cluster.run(8000);
  assert.ok(cluster.leader(), 'a leader is elected');
  return cluster;
}

/** The workers of all machines that are up. */
export const workers = (cluster: SimulatedCluster): FakeWorker[] => [...cluster.workers.values()];

/** Names of all nodes but the leader, whether or not they run. */
export function followers(cluster: SimulatedCluster): string[] {
  return cluster.nodeNames.filter((n) => n !== cluster.leader());
}

/** Sends a request and runs the cluster for 5 s; null if no reply has come by then. */
export function replyTo(
  cluster: SimulatedCluster,
  send: (done: (r: Reply | null) => void) => void,
): Reply | null {
  let answer: Reply | null = null;
  send((r) => (answer = r));
  cluster.run(5000);
  return answer;
}

/** Number of tasks that run on all machines together. */
export function runningTaskCount(cluster: SimulatedCluster): number {
  return workers(cluster)
    .flatMap((w) => w.tasks)
    .filter((t) => t.status === 'running').length;
}

/** Status of the job in a reply; undefined if the reply has none. */
export const statusOf = (r: Reply | null): unknown =>
  (r?.body as { status?: string } | null)?.status;

/** Polls a job until it is reported as done; false if it is not within the limit, in ms. */
export function runUntilDone(cluster: SimulatedCluster, id: string, limit = 120_000): boolean {
  const node = () => [...cluster.processes.running.keys()].at(-1)!;
  const done = () => {
    cluster.poll(id, node());
    return cluster.checker.finalStatus(id) === 'done';
  };
  return cluster.runUntil(done, limit);
}

/** Log fields of each violation that controllers reported of their own invariants. */
export const invariantViolations = (cluster: SimulatedCluster): unknown[] =>
  cluster.logLines.filter((l) => l.message === 'invariant violated').map((l) => l.fields);

/** Asserts that no rule of the protocol and no invariant of a controller was violated. */
export function assertNoViolations(cluster: SimulatedCluster): void {
  assert.deepEqual(cluster.checker.violations, []);
  assert.deepEqual(invariantViolations(cluster), []);
}

/** The field of a submission that names these jobs as its predecessors. */
export const waitsOn = (...numbers: number[]): { waits_on: string[] } => ({
  waits_on: numbers.map(jobId),
});

/** Submits a job to a running node and asserts that it is accepted within 8 s. */
export function submitAccepted(
  cluster: SimulatedCluster,
  n: number,
  overrides: Record<string, unknown> = {},
): void {
  const nodes = [...cluster.processes.running.keys()];
  cluster.submit(job(n, overrides), nodes[n % nodes.length]!);
  assert.ok(
    cluster.runUntil(() => cluster.checker.isAccepted(jobId(n)), 8000),
    `${jobId(n)} is accepted`,
  );
}

/** Submits a job to a running node, and again every 3 s until it is accepted. */
export function submitWithRetries(
  cluster: SimulatedCluster,
  n: number,
  overrides: Record<string, unknown>,
): void {
  if (cluster.checker.isAccepted(jobId(n))) return;
  const nodes = [...cluster.processes.running.keys()];
  if (nodes.length > 0) cluster.submit(job(n, overrides), nodes[n % nodes.length]!);
  cluster.at(3000, () => submitWithRetries(cluster, n, overrides));
}

/** Whether a worker has a task of the job, running or not, or some task of the job is done. */
export const hasStarted = (cluster: SimulatedCluster, n: number): boolean =>
  workers(cluster).some((w) => w.tasks.some((t) => t.piece.startsWith(jobId(n)))) ||
  cluster.checker.doneTasks(jobId(n)).size > 0;

/** Ends the leader's process, if there is a leader, and starts it again after `downtime` ms. */
export function crashLeader(cluster: SimulatedCluster, downtime = 6000): void {
  const leader = cluster.leader();
  if (leader === null) return;
  cluster.crash(leader);
  cluster.at(downtime, () => {
    if (!cluster.processes.running.has(leader)) cluster.boot(leader);
  });
}

/** Polls each of these jobs at each of these nodes, without waiting for the replies. */
export function pollAll(cluster: SimulatedCluster, jobs: number[], nodes: string[]): void {
  for (const n of jobs) for (const node of nodes) cluster.poll(jobId(n), node);
}

const RECOVERY_LIMIT_MS = 400_000;

/**
 * Ends all faults. Asserts that each of these jobs reaches a final status, that all nodes report
 * it, and that no task runs on and no rule was violated.
 */
export function assertRecovery(cluster: SimulatedCluster, jobs: number[]): void {
  cluster.endFaults();
  const unfinishedJobs = () => jobs.filter((n) => cluster.checker.finalStatus(jobId(n)) === null);
  const allEnded = () => {
    if (cluster.now() % 1000 === 0) {
      for (const n of unfinishedJobs()) cluster.poll(jobId(n), cluster.nodeNames[n % 3]!);
    }
    return unfinishedJobs().length === 0;
  };
  assert.ok(
    cluster.runUntil(allEnded, RECOVERY_LIMIT_MS),
    `jobs without a final status: ${unfinishedJobs().join(', ')}`,
  );
  for (const node of cluster.nodeNames) {
    pollAll(cluster, jobs, [node]);
    cluster.run(2000);
  }
  cluster.run(cluster.times.cancellationLimit + 5000);
  assert.equal(runningTaskCount(cluster), 0);
  assert.deepEqual(cluster.checker.unserved(), []);
  assertNoViolations(cluster);
}

/** Status of a job as this node reports it; undefined without a reply. */
export const polledStatus = (cluster: SimulatedCluster, n: number, node: string): unknown =>
  statusOf(replyTo(cluster, (d) => cluster.poll(jobId(n), node, d)));

/** Cancels a job at this node and asserts that the reply confirms it. */
export const cancelAndConfirm = (cluster: SimulatedCluster, n: number, node: string): void =>
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(jobId(n), node, d))), 'aborted');
