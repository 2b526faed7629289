import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { Call } from '@tealdock/controller';
import { chooseVolunteer, dominates, firstNonDominated, type Volunteer } from '@tealdock/scheduler';
import { SimulatedCluster, job } from '../index.js';
import { JOB1, assertNoViolations, runningTaskCount, readyCluster } from './steps.js';

/** Records every call to the state service from now on. */
function recordCalls(cluster: SimulatedCluster): Call[] {
  const calls: Call[] = [];
  cluster.stateLink.fault = (_node, call) => void calls.push(call);
  return calls;
}

const sumWrites = (calls: Call[]): number => calls.reduce((n, c) => n + c.writeCount, 0);

// One write for each machine took most of what the state service allows in a minute.
test('a thousand machines are registered with few writes to the state service', () => {
  const cluster = readyCluster({}, 1);
  const calls = recordCalls(cluster);
  for (let i = 0; i < 1000; i++) cluster.cloud.addMachine(i % 2 ? 'a' : 'b');
  cluster.run(15_000);
  const enrolled = [...cluster.state.keys]
    .filter(([key]) => key.includes('/roster/'))
    .flatMap(([, e]) => Object.keys((e.v as { entries: object }).entries));
  assert.equal(enrolled.length, 1001);
  assert.ok(sumWrites(calls) < 120, `${sumWrites(calls)} changes`);
});

test('few of 900 tasks on 300 machines are started again after a change of leader', () => {
  const cluster = readyCluster({ cpuLimit: 10_000 }, 300);
  cluster.submit(job(1, { batch: 900, expected_s: 40 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 900, 30_000));
  cluster.crash(cluster.leader()!);
  cluster.run(60_000);
  assertNoViolations(cluster);
  assert.ok(cluster.checker.startCount >= 900);
  assert.ok(cluster.checker.startCount < 930, `${cluster.checker.startCount} starts of 900 tasks`);
});

// One or two reads for each poll would use up the few hundred requests allowed in a second.
test('a hundred simultaneous polls share a few requests to the state service', () => {
  const cluster = readyCluster({ capacity: 2 }, 2);
  const ids = Array.from({ length: 100 }, (_, i) => `run-${String(i + 1).padStart(6, '0')}`);
  for (let i = 1; i <= 100; i++) cluster.submit(job(i, { expected_s: 500 }), 'n-0');
  cluster.run(5000);
  const calls = recordCalls(cluster);
  let answered = 0;
  for (const id of ids) cluster.poll(id, 'n-0', (r) => (answered += r?.status === 200 ? 1 : 0));
  cluster.run(500);
  assert.equal(answered, 100);
  const userRequestCount = calls.filter((c) => c.priority === 1).length;
  assert.ok(userRequestCount <= 10, `${userRequestCount} requests`);
  assertNoViolations(cluster);
});

test('hundreds of machines are rented with few calls to the cloud', () => {
  const cluster = new SimulatedCluster({ capacity: 400, cpuLimit: 5000 });
  cluster.run(5000);
  cluster.submit(job(1, { batch: 1200, spare: true, expected_s: 60 }), 'n-0');
  assert.ok(cluster.runUntil(() => cluster.cloud.rentedIds.length >= 300, 10_000));
  assert.ok(cluster.cloud.rentalRequestCount <= 16, `${cluster.cloud.rentalRequestCount} calls`);
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 1200, 40_000));
  assertNoViolations(cluster);
});

function exhaustiveChoice(volunteers: Volunteer[]): Volunteer | undefined {
  const best = Math.min(...volunteers.map((v) => v.imageRank));
  const able = volunteers.filter((v) => v.imageRank === best);
  return able.find((v) => !able.some((other) => dominates(other, v)));
}

function randomVolunteers(seed: number, count: number): Volunteer[] {
  const generator = xoroshiro128plus(seed);
  const draw = (steps: number) => Math.floor(uniformFloat64(generator) * steps);
  return Array.from({ length: count }, () => ({
    allocatedFraction: draw(9) / 8,
    marginalPrice: draw(4) / 10,
    recentComputeTime: draw(1000),
    imageRank: draw(4),
  }));
}

test('the fast search of the Pareto front chooses the same volunteer as an exhaustive search', () => {
  for (let seed = 1; seed <= 300; seed++) {
    const volunteers = randomVolunteers(seed, 1 + (seed % 60));
    assert.equal(chooseVolunteer(volunteers), exhaustiveChoice(volunteers), `seed ${seed}`);
  }
});

test('the choice among a thousand volunteers takes few comparisons', () => {
  let reads = 0;
  const volunteers = randomVolunteers(7, 1000).map((v) => ({
    ...v,
    get allocatedFraction() {
      reads++;
      return v.allocatedFraction;
    },
  }));
  assert.ok(firstNonDominated(volunteers));
  assert.ok(reads > 0, 'the comparisons are counted');
  assert.ok(reads < 30 * 1000, `${reads} reads of an allocated fraction`);
});

test('the usage that the leader keeps for a team agrees with the sum over its running tasks', () => {
  const cluster = readyCluster({ capacity: 6, cpuLimit: 12, guarantee: 4, runTime: 6000 }, 4);
  for (let i = 1; i <= 12; i++) {
    const owner = i % 2 ? 'team' : 'other';
    const urgency = ['urgent', 'normal', 'idle'][i % 3];
    cluster.at(i * 3000, () => cluster.submit(job(i, { owner, urgency, batch: 9 }), 'n-0'));
  }
  cluster.at(15_000, () => cluster.crash(cluster.leader()!));
  cluster.run(120_000);
  // At every start the checker sums up the running tasks and compares the sum with the limit.
  assertNoViolations(cluster);
  assert.ok(cluster.checker.startCount > 60);
  assert.ok(cluster.checker.maxCpusUsed('team') > 11, 'the limit is used, so no usage leaks');
  assert.equal(cluster.jobs.has(JOB1), true);
});
