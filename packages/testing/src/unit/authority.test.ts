import assert from 'node:assert/strict';
import { test } from 'node:test';
import { packBody, parseOperatorSettings } from '@tealdock/wire';
import {
  Authority,
  Runtime,
  Stats,
  type Decision,
  type StartTarget,
  type TermKnowledge,
} from '@tealdock/controller';
import { job } from '../index.js';
import { settingsFor } from '../simulation/cluster-options.js';
import { JOB1, cancelAndConfirm, readyCluster, invariantViolations } from '../scenarios/steps.js';

const NOW_MS = 100_000;
const READY: StartTarget = { isRegistered: true, isReconciled: true, isReturning: false };

interface Conditions {
  knowledge?: Partial<TermKnowledge>;
  /** Time left of the leader's lease in ms; null if the lease is in doubt. */
  lease?: number | null;
}

function authorityWith({ knowledge = {}, lease = 3000 }: Conditions = {}): Authority {
  const runtime = new Runtime({
    settings: settingsFor('n-0', 100),
    operator: parseOperatorSettings(''),
    random: () => 0,
    log: () => undefined,
    stats: new Stats(),
  });
  runtime.now = NOW_MS;
  const held = lease === null ? null : { fencingToken: 7, validUntil: NOW_MS + lease };
  const all = {
    stateLoaded: true,
    closed: false,
    cancellationsKnownUntil: NOW_MS,
    observedJobsLoaded: true,
    isLive: () => true,
  };
  return new Authority(runtime, { validLease: () => held }, { ...all, ...knowledge });
}

const reasonOf = (decision: Decision): string => (decision.granted ? 'granted' : decision.reason);

test('a renewal needs the leader lease, the live jobs and fresh knowledge of cancellations', () => {
  const renewal = (given: Conditions) => reasonOf(authorityWith(given).renewal());
  assert.equal(renewal({}), 'granted');
  assert.equal(renewal({ lease: null }), 'no_lease');
  assert.equal(renewal({ knowledge: { closed: true } }), 'term_over');
  assert.equal(renewal({ knowledge: { stateLoaded: false } }), 'jobs_not_read');
  assert.equal(renewal({ knowledge: { cancellationsKnownUntil: NOW_MS - 6000 } }), 'granted');
  assert.equal(
    renewal({ knowledge: { cancellationsKnownUntil: NOW_MS - 6001 } }),
    'knowledge_stale',
  );
  assert.equal(renewal({ knowledge: { cancellationsKnownUntil: -Infinity } }), 'knowledge_stale');
});

test('a renewal is allowed until the lease ends or the knowledge is stale, whichever is first', () => {
  const until = (given: Conditions) => {
    const decision = authorityWith(given).renewal();
    return decision.granted ? decision.validUntil : null;
  };
  assert.equal(until({ lease: 1000 }), NOW_MS + 1000);
  assert.equal(
    until({ lease: 9000, knowledge: { cancellationsKnownUntil: NOW_MS - 2000 } }),
    NOW_MS + 4000,
  );
});

test('a start needs fresher knowledge than a renewal, and a registered and reconciled machine', () => {
  const start = (knowledge: Partial<TermKnowledge>, machine: Partial<StartTarget> = {}) =>
    reasonOf(authorityWith({ knowledge }).start({ ...READY, ...machine }));
  assert.equal(start({}), 'granted');
  assert.equal(start({ cancellationsKnownUntil: NOW_MS - 2000 }), 'granted');
  assert.equal(start({ cancellationsKnownUntil: NOW_MS - 2001 }), 'knowledge_stale');
  assert.equal(start({ observedJobsLoaded: false }), 'sizes_unknown');
  assert.equal(start({}, { isRegistered: false }), 'machine_not_registered');
  assert.equal(start({}, { isReconciled: false }), 'machine_unaccounted');
  assert.equal(start({}, { isReturning: true }), 'machine_returning');
});

test('a refusal for stale knowledge carries its age and limit', () => {
  const decision = authorityWith({
    knowledge: { cancellationsKnownUntil: NOW_MS - 7000 },
  }).renewal();
  assert.deepEqual(decision.evidence, { source: 'job watch', age: 7000, limit: 6000 });
});

test('only a term that has read the live jobs may stop tasks of other jobs', () => {
  const isLive = (id: string) => id === JOB1;
  assert.equal(authorityWith({ knowledge: { isLive } }).mayStop(JOB1), false);
  assert.equal(authorityWith({ knowledge: { isLive } }).mayStop('run-000002'), true);
  assert.equal(
    authorityWith({ knowledge: { isLive, stateLoaded: false } }).mayStop('run-000002'),
    false,
  );
});

// Log and counters must show a worker that continues a task although it got a stop for it.
test('a task that runs past the cancellation limit is reported once as a violation', () => {
  const cluster = readyCluster({}, 1);
  cluster.submit(job(1, { batch: 1, cpus: 4, expected_s: 300 }), 'n-0');
  cluster.run(2000);
  cancelAndConfirm(cluster, 1, 'n-0');
  const leader = cluster.leader()!;
  const { machine, fencingToken: fence } = [...cluster.workers.values()][0]!;
  const place = { host: 'm-000099', addr: 'x:1', flavour: machine.type, hall: 'a', spare: false };
  const task = { piece: `${JOB1}/0`, try_no: 9, status: 'running' };
  const report = (tally: number) =>
    packBody({ ...place, shift: 1, tally, fence, warning_s: null, batch: [task] });
  const limit = cluster.now() + cluster.times.cancellationLimit;
  for (let tally = 1; cluster.now() < limit + 10_000; tally++) {
    cluster.request(leader, 'POST', '/hello', report(tally));
    if (cluster.now() < limit - 5000) assert.deepEqual(invariantViolations(cluster), []);
    cluster.run(2000);
  }
  const [violation, ...more] = invariantViolations(cluster) as { invariant: string; job: string }[];
  assert.equal(violation?.invariant, 'ran_past_cancel_limit');
  assert.equal(violation.job, JOB1);
  assert.deepEqual(more, []);
});
