/** Steps that many scenarios share. */
import assert from 'node:assert/strict';
import type { Reply } from '@tealdock/controller';
import type { FakeWorker } from '../fakes/fake-worker.js';
import { job } from '../simulation/small-job.js';
import type { ClusterOptions } from '../simulation/cluster-options.js';
import { SimulatedCluster } from '../simulation/simulated-cluster.js';

/** Id of a job by its number. */
/** Identifier of the job with this number. */
export const jobId = (n: number): string => `run-${String(n).padStart(6, '0')}`;

/** The first job of a scenario. */
export const JOB1 = jobId(1);
/** The second job of a scenario. */
export const JOB2 = jobId(2);

/** A cluster with machines up and a leader that knows them. */
export function readyCluster(options: ClusterOptions = {}, machineCount = 2): SimulatedCluster {
  const cluster = new SimulatedCluster(options);
  for (let i = 0; i < machineCount; i++) cluster.cloud.add(i % 2 === 0 ? 'a' : 'b');
  cluster.run(8000);
  assert.ok(cluster.leader(), 'somebody leads');
  return cluster;
}

/** All machines that are up. */
export const workers = (cluster: SimulatedCluster): FakeWorker[] => [...cluster.workers.values()];

/** The nodes that do not lead. */
export function followers(cluster: SimulatedCluster): string[] {
  return cluster.nodeNames.filter((n) => n !== cluster.leader());
}

/** The answer to a request, if it comes within seconds. */
export function replyTo(
  cluster: SimulatedCluster,
  send: (done: (r: Reply | null) => void) => void,
): Reply | null {
  let answer: Reply | null = null;
  send((r) => (answer = r));
  cluster.run(5000);
  return answer;
}

/** Tasks that run, on all machines. */
export function runningTaskCount(cluster: SimulatedCluster): number {
  return workers(cluster)
    .flatMap((w) => w.tasks)
    .filter((t) => t.status === 'running').length;
}

/** State of the job in a response; undefined where the response names none. */
export const statusOf = (r: Reply | null): unknown =>
  (r?.body as { status?: string } | null)?.status;

/** Whether a job is called done within the limit. */
export function runUntilDone(cluster: SimulatedCluster, id: string, limit = 120_000): boolean {
  const node = () => [...cluster.processes.running.keys()].at(-1)!;
  const done = () => {
    cluster.poll(id, node());
    return cluster.checker.finalStatus(id) === 'done';
  };
  return cluster.runUntil(done, limit);
}

/** What controllers have seen broken of their own invariants. */
export const invariantViolations = (cluster: SimulatedCluster): unknown[] =>
  cluster.logLines.filter((l) => l.message === 'invariant violated').map((l) => l.fields);

/** Fails the test if any rule of the protocol was broken, or any invariant of a controller. */
export function assertNoViolations(cluster: SimulatedCluster): void {
  assert.deepEqual(cluster.checker.violations, []);
  assert.deepEqual(invariantViolations(cluster), []);
}

/** Predecessors by their numbers, as a field of a submission. */
export const waitsOn = (...numbers: number[]): { waits_on: string[] } => ({
  waits_on: numbers.map(jobId),
});

/** A user submits a job to some node, which takes it. */
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

/** A user who repeats a submission until some node has taken it. */
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

/** Some task of the job has started. */
export const hasStarted = (cluster: SimulatedCluster, n: number): boolean =>
  workers(cluster).some((w) => w.tasks.some((t) => t.piece.startsWith(jobId(n)))) ||
  cluster.checker.doneTasks(jobId(n)).size > 0;

/** The leader's process ends, and is back after a while. */
export function crashLeader(cluster: SimulatedCluster, downtime = 6000): void {
  const leader = cluster.leader();
  if (leader === null) return;
  cluster.crash(leader);
  cluster.at(downtime, () => {
    if (!cluster.processes.running.has(leader)) cluster.boot(leader);
  });
}

/** Users ask all these nodes about all these jobs. */
export function pollAll(cluster: SimulatedCluster, jobs: number[], nodes: string[]): void {
  for (const n of jobs) for (const node of nodes) cluster.poll(jobId(n), node);
}

const ALL_END_LIMIT_MS = 400_000;

/** All faults are over: each of these jobs ends, and every node says the same of it. */
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
    cluster.runUntil(allEnded, ALL_END_LIMIT_MS),
    `jobs without an end: ${unfinishedJobs().join(', ')}`,
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

/** What a node says of a job. */
export const polledStatus = (cluster: SimulatedCluster, n: number, node: string): unknown =>
  statusOf(replyTo(cluster, (d) => cluster.poll(jobId(n), node, d)));

/** A user cancels a job, and is told so. */
export const cancelAndConfirm = (cluster: SimulatedCluster, n: number, node: string): void =>
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(jobId(n), node, d))), 'aborted');
