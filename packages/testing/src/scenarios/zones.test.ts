import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedCluster } from '../index.js';
import { job } from '../index.js';
import {
  JOB1,
  replyTo,
  runUntilDone,
  assertNoViolations,
  followers,
  runningTaskCount,
  readyCluster,
  statusOf,
} from './steps.js';

/** Partitions zone `b`, with one follower, from the leader and all other machines. */
function partitionZones(cluster: SimulatedCluster): { follower: string; machines: string[] } {
  const follower = followers(cluster)[0]!;
  const machines = [...cluster.workers.values()]
    .filter((w) => w.machine.zone === 'b')
    .map((w) => w.machine.id);
  cluster.network.partition([follower, ...machines]);
  return { follower, machines };
}

function busyCluster(): SimulatedCluster {
  const cluster = readyCluster({ capacity: 4, runTime: 70_000 }, 4);
  // The leader's side has free capacity for tasks that the leader takes to be lost.
  cluster.submit(job(1, { batch: 10, expected_s: 70 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 10, 20_000));
  return cluster;
}

test("a zone cut off from the leader for longer than the workers' lease keeps its tasks", () => {
  const cluster = busyCluster();
  const { machines } = partitionZones(cluster);
  cluster.run(40_000);
  for (const id of machines)
    assert.equal(cluster.workers.get(id)!.agentEpoch, 1, `${id} kept its lease`);
  cluster.network.cuts.clear();
  assert.ok(runUntilDone(cluster, JOB1));
  assert.equal(cluster.checker.startCount, 10, 'no task was started again');
  assertNoViolations(cluster);
});

test('a job cancelled during a zone partition is stopped in the zone that is cut off in time', () => {
  const cluster = busyCluster();
  const { follower } = partitionZones(cluster);
  cluster.run(12_000);
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, follower, d))), 'aborted');
  cluster.run(50_000);
  assert.equal(runningTaskCount(cluster), 0);
  assertNoViolations(cluster);
});

test('after a leader crash in a zone partition the successor waits for leases renewed by a follower', () => {
  for (const wait of [9000, 14_000, 19_000]) {
    const cluster = busyCluster();
    partitionZones(cluster);
    cluster.run(wait);
    cluster.crash(cluster.leader()!);
    cluster.run(30_000);
    cluster.network.cuts.clear();
    assert.ok(runUntilDone(cluster, JOB1, 300_000), `died after ${wait} ms`);
    assertNoViolations(cluster);
  }
});

// A leader counts a grant's duration from the moment at which it first sees the grant. If it saw an
// expired grant for the first time only when a lease expires, it would treat the grant as new and
// reconcile the registry a grant and a lease later, while all older work waits.
test('grants that expired long ago do not delay the expiry of leases', () => {
  const cluster = busyCluster();
  const { machines } = partitionZones(cluster);
  cluster.run(12_000);
  assert.ok(cluster.logLines.some((l) => l.message === 'lease renewal delegated'));
  // The machines of the zone become unreachable for all nodes, and the leader crashes.
  const from = cluster.logLines.length;
  for (const id of machines) cluster.network.cuts.add(id);
  cluster.crash(cluster.leader()!);
  const ready = () =>
    cluster.logLines.slice(from).some((l) => l.message === 'machine registry reconciled');
  assert.ok(cluster.runUntil(ready, 100_000));
  const took = Number(
    cluster.logLines.slice(from).find((l) => l.message === 'machine registry reconciled')!.fields[
      'tookMs'
    ],
  );
  const grantDuration = 6000;
  assert.ok(took < cluster.times.lease + grantDuration + 5000, `${took} ms`);
  cluster.network.cuts.clear();
  assert.ok(runUntilDone(cluster, JOB1, 300_000));
  assertNoViolations(cluster);
});

test('tasks of a machine that dies while a follower renews its lease run again', () => {
  const cluster = busyCluster();
  const { machines } = partitionZones(cluster);
  cluster.run(15_000);
  cluster.cloud.removeMachine(machines[0]!);
  cluster.run(20_000);
  cluster.network.cuts.clear();
  assert.ok(runUntilDone(cluster, JOB1, 300_000));
  assertNoViolations(cluster);
});

test('workers find a leader that refuses connections of its peers; no grant is requested', () => {
  const cluster = readyCluster({}, 3);
  const leader = cluster.leader()!;
  const peers = followers(cluster);
  for (const p of peers) cluster.network.cuts.add(`${leader}>${p}`);
  for (const p of peers) cluster.network.cuts.add(`${p}>${leader}`);
  const refuse = () => {
    for (const p of peers) cluster.processes.refuseConnection(p, leader);
    cluster.at(1000, refuse);
  };
  refuse();
  cluster.run(10_000);
  for (let i = 0; i < 3; i++) cluster.cloud.addMachine('a');
  cluster.run(10_000);
  const delegated = cluster.logLines.some((l) => l.message === 'lease renewal delegated');
  assert.ok(!delegated, 'no grant is requested');
  for (const w of cluster.workers.values())
    assert.ok(w.fencingToken > 0, 'each has found the leader');
  cluster.submit(job(1), peers[0]!);
  assert.ok(runUntilDone(cluster, JOB1));
  assertNoViolations(cluster);
});
