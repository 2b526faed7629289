import assert from 'node:assert/strict';
import { packBody } from '@tealdock/wire';
import type { Reply } from '@tealdock/controller';
import { job, type SimulatedCluster } from '../index.js';
import { testOnEachDeployment, readyDeployment } from './deployments.js';
import {
  JOB1,
  waitsOn,
  assertRecovery,
  jobId,
  assertNoViolations,
  submitAccepted,
} from './steps.js';

const LONG_RUN_TIME_MS = 400_000;

/** Submits a body as it is. Returns the reply, null if none came, and how long it took in ms. */
function post(
  cluster: SimulatedCluster,
  node: string,
  body: unknown,
): { reply: Reply | null; took: number } {
  const from = cluster.now();
  let took = Infinity;
  let reply: Reply | null = null;
  const request = {
    method: 'POST',
    path: '/api/jobs',
    body: packBody(body),
    via: 'public' as const,
  };
  cluster.processes.request(node, request, (r) => {
    reply = r;
    took = cluster.now() - from;
  });
  cluster.run(6000);
  return { reply, took };
}

testOnEachDeployment('unusual lists of predecessors get the documented status at once', (times) => {
  const cluster = readyDeployment(times, { runTime: LONG_RUN_TIME_MS });
  submitAccepted(cluster, 1, { expected_s: 400 });
  const many = (count: number, from: number) =>
    Array.from({ length: count }, (_, i) => jobId(from + i));
  const cases: [waits: unknown, status: number][] = [
    ['run-000001', 400],
    [{ 0: JOB1 }, 400],
    [7, 400],
    [true, 400],
    [[null], 400],
    [[JOB1, 3], 400],
    [[[JOB1]], 400],
    [[''], 422],
    [['run-1'], 422],
    [[`${JOB1}/0`], 422],
    [[jobId(2)], 422],
    [[JOB1, jobId(2)], 422],
    [[jobId(77)], 422],
    [[JOB1, jobId(77), JOB1], 422],
    [many(40, 1000), 422],
    [many(3000, 1000), 400],
    [Array(3000).fill(JOB1), 201],
    [[JOB1, JOB1, JOB1], 200],
  ];
  for (const [waits, expected] of cases) {
    const description = JSON.stringify(waits).slice(0, 60);
    const { reply, took } = post(cluster, 'n-0', job(2, { waits_on: waits }));
    assert.equal(reply?.status, expected, description);
    assert.ok(took < 1500, `${description}: ${took} ms`);
  }
  for (const [waits] of cases) {
    const { reply } = post(cluster, 'n-1', job(2, { waits_on: waits }));
    assert.equal(reply?.status, 200, 'a known job gets 200 whatever the body says');
  }
  assertNoViolations(cluster);
});

testOnEachDeployment(
  'a predecessor that another node is accepting is either found or reported as unknown',
  (times) => {
    for (let delay = 0; delay <= 60; delay += 5) {
      const cluster = readyDeployment(times, { runTime: 2000 });
      cluster.stateLink.extraDelay = () => 20;
      cluster.submit(job(1, { batch: 1 }), 'n-0');
      cluster.run(delay);
      const { reply } = post(cluster, 'n-1', job(2, { batch: 1, ...waitsOn(1) }));
      assert.ok([201, 422].includes(reply!.status), `${reply!.status} after ${delay} ms`);
      submitAccepted(cluster, 2, { batch: 1, ...waitsOn(1) });
      assertRecovery(cluster, [1, 2]);
      assert.equal(cluster.checker.finalStatus(jobId(2)), 'done');
    }
  },
);
