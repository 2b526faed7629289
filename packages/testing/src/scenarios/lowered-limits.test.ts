import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '@tealdock/wire';
import { SimulatedCluster, job } from '../index.js';
import {
  JOB1,
  waitsOn,
  crashLeader,
  runUntilDone,
  jobId,
  assertNoViolations,
  runningTaskCount,
  readyCluster,
  submitAccepted,
} from './steps.js';

/** Names of the entries in all shards whose keys contain the prefix. */
function entriesOf(cluster: SimulatedCluster, prefix: string): Set<string> {
  const shards = [...cluster.state.keys].filter(([key]) => key.includes(prefix));
  return new Set(shards.flatMap(([, e]) => Object.keys((e.v as { entries: object }).entries)));
}

/** Length in characters of the largest shard of the registry and the progress table. */
function largestShardSize(cluster: SimulatedCluster): number {
  const shards = [...cluster.state.keys].filter(([k]) => /roster|progress/.test(k));
  return Math.max(...shards.map(([, e]) => JSON.stringify(e.v).length));
}

test('the lower of the current and the announced limits applies from the first start', () => {
  const text = (next: string) =>
    [
      'member = "n-0"\nzone = "a"\npublic_addr = "10.0.0.1:1"\ncluster_listen = "10.0.0.1:2"',
      '[external]\ncloud = "10.0.0.2:1"\nstate = "10.0.0.3:1"',
      '[settings.workers]\nreport_s = 3.0\nlease_s = 20.0\ncancel_s = 45.0',
      '[settings.cloud]\nrps = 6.0\nlist_lag_s = 1.0',
      '[settings.state]\nrps = 100.0\nwrite_rps = 40.0\nvalue_kb = 16.0\ntxn_ops = 12',
      next,
    ].join('\n');
  const limits = (next: string) => parseSettings(text(next)).state;
  assert.deepEqual(limits(''), {
    requestsPerSecond: 100,
    writesPerSecond: 40,
    maxValueBytes: 16384,
    maxTransactionWrites: 12,
  });
  assert.deepEqual(limits('[settings.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 4'), {
    requestsPerSecond: 100,
    writesPerSecond: 28,
    maxValueBytes: 2048,
    maxTransactionWrites: 4,
  });
  assert.throws(() => limits('[settings.state.next]\ntxn_ops = 0'), /txn_ops/);
  assert.throws(() => limits('[settings.state.next]\nvalue_kb = -1'), /value_kb/);
});

test('no registry entry is missing at any moment while large shards are split for lower limits', () => {
  for (const crashes of [false, true]) {
    const options = {
      cpuLimit: 10_000,
      maxValueBytes: 16_384,
      maxTransactionWrites: 12,
      runTime: 40_000,
    };
    const cluster = readyCluster(options, 300);
    submitAccepted(cluster, 1, { batch: 1000, expected_s: 40 });
    cluster.run(8000);
    const machines = entriesOf(cluster, '/roster/');
    assert.equal(machines.size, 300);
    assert.ok(largestShardSize(cluster) > 8000);
    cluster.options.announcedLimits = { maxValueBytes: 2048, maxTransactionWrites: 4 };
    for (const n of cluster.nodeNames) {
      cluster.crash(n);
      cluster.boot(n);
    }
    const allRegistered = () => [...machines].every((m) => entriesOf(cluster, '/roster/').has(m));
    for (let i = 0; i < 200; i++) {
      if (i === 3) cluster.lowerStateLimits();
      if (crashes && i % 8 === 7 && i < 60) crashLeader(cluster, 400);
      cluster.run(100);
      assert.ok(allRegistered(), `after ${i * 100} ms`);
    }
    assert.ok(largestShardSize(cluster) <= 2048);
    assert.equal(cluster.state.oversizedCount, 0, 'no write was too large');
    assert.ok(runUntilDone(cluster, JOB1, 300_000));
    assertNoViolations(cluster);
  }
});

test('many dependent jobs complete under low limits without a write that is too large', () => {
  const announcedLimits = { maxValueBytes: 2048, maxTransactionWrites: 2 };
  const cluster = readyCluster({ capacity: 6, runTime: 3000, announcedLimits }, 6);
  cluster.lowerStateLimits();
  for (let n = 1; n <= 30; n++) {
    const overrides = n > 3 ? waitsOn(n - 1, n - 3) : {};
    cluster.submit(job(n, { ...overrides, batch: 4 }), cluster.nodeNames[n % 3]!);
    cluster.run(200);
  }
  assert.ok(runUntilDone(cluster, jobId(30), 300_000));
  assert.equal(cluster.state.oversizedCount, 0);
  assert.equal(runningTaskCount(cluster), 0);
  assertNoViolations(cluster);
});
