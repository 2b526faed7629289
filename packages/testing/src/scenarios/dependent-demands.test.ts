import assert from 'node:assert/strict';
import { test } from 'node:test';
import { dependentDemands, type GraphJob } from '@tealdock/scheduler';
import {
  JOB1,
  waitsOn,
  replyTo,
  JOB2,
  runUntilDone,
  jobId,
  assertNoViolations,
  readyCluster,
  statusOf,
  submitAccepted,
} from './steps.js';

const graphJob = (
  id: string,
  predecessors: string[],
  overrides: Partial<GraphJob> = {},
): GraphJob => ({
  id,
  predecessors,
  priority: 'low',
  finishBy: Infinity,
  runTime: 10,
  ...overrides,
});

test('jobs inherit the highest priority and the earliest deadline of their current dependents', () => {
  const last = graphJob('d', ['b', 'c'], { priority: 'high', finishBy: 1000, runTime: 5 });
  const jobs = [
    graphJob('a', []),
    graphJob('b', ['a'], { runTime: 100 }),
    graphJob('c', ['a'], { runTime: 20, priority: 'normal', finishBy: 500 }),
    last,
    graphJob('x', ['gone'], { finishBy: 7 }),
  ];
  const all = dependentDemands(jobs);
  assert.deepEqual(all.get('a'), { priority: 'high', finishBy: 480 });
  assert.deepEqual(all.get('b'), { priority: 'high', finishBy: 995 });
  assert.deepEqual(all.get('c'), { priority: 'high', finishBy: 500 });
  assert.deepEqual(all.get('x'), { priority: 'low', finishBy: 7 });
  const without = dependentDemands(jobs.filter((j) => j !== last));
  assert.deepEqual(without.get('a'), { priority: 'normal', finishBy: 480 });
  assert.deepEqual(without.get('b'), { priority: 'low', finishBy: Infinity });
});

test('predecessors of an urgent job run before other work until that job is cancelled', () => {
  for (const cancels of [false, true]) {
    const cluster = readyCluster({ capacity: 1, runTime: 4000 }, 1);
    const low = { urgency: 'idle', batch: 8 };
    submitAccepted(cluster, 1, { ...low, batch: 20 });
    submitAccepted(cluster, 2, { ...low });
    submitAccepted(cluster, 3, { urgency: 'urgent', batch: 1, ...waitsOn(2) });
    if (cancels)
      assert.equal(
        statusOf(replyTo(cluster, (d) => cluster.cancel(jobId(3), 'n-1', d))),
        'aborted',
      );
    const tasks = (id: string) => cluster.checker.doneTasks(id).size;
    cluster.runUntil(() => tasks(JOB2) === 8, 60_000);
    if (cancels)
      assert.ok(tasks(JOB1) >= 16, `${tasks(JOB1)} tasks of the older job were done first`);
    else assert.ok(tasks(JOB1) < 16, `${tasks(JOB1)} tasks of the older job were done before`);
    if (!cancels) assert.ok(runUntilDone(cluster, jobId(3), 20_000));
    assertNoViolations(cluster);
  }
});
