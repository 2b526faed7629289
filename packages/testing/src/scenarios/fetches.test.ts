import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedCluster } from '../index.js';
import { job } from '../index.js';
import { jobId, assertNoViolations, readyCluster } from './steps.js';

/** Jobs of one task each, with an image of their own. */
function submitJobsWithOwnImages(
  cluster: SimulatedCluster,
  from: number,
  count: number,
  gb: number,
  node = 'n-0',
): void {
  for (let n = from; n < from + count; n++) {
    cluster.submit(job(n, { batch: 1, bundle: `img-${n}`, image_gb: gb, expected_s: 5 }), node);
  }
}

/** The most images that a machine fetches soon after; then these jobs are run to their ends. */
function maxConcurrentFetches(cluster: SimulatedCluster, from: number, count: number): number {
  cluster.run(4000);
  const maxCount = Math.max(
    ...[...cluster.workers.values()].map((w) => w.imagesBeingFetched().length),
  );
  const numbers = Array.from({ length: count }, (_, i) => from + i);
  const done = () => numbers.every((n) => cluster.checker.doneTasks(jobId(n)).size === 1);
  assert.ok(cluster.runUntil(done, 200_000));
  assertNoViolations(cluster);
  return maxCount;
}

// A machine with room for dozens of tasks was given dozens of images; each took minutes.
test('fetches that share a rate are kept out of each other\u2019s way', () => {
  const cluster = readyCluster({ capacity: 2, fetches: { gbPerS: 1, shared: true } }, 2);
  submitJobsWithOwnImages(cluster, 1, 8, 8);
  assert.ok(maxConcurrentFetches(cluster, 1, 8) <= 2);
  submitJobsWithOwnImages(cluster, 11, 8, 8);
  assert.ok(maxConcurrentFetches(cluster, 11, 8) <= 2);
});

test('where fetches do not share a rate this is learnt, and all room is used at once', () => {
  const cluster = readyCluster({ capacity: 2, fetches: { gbPerS: 1, shared: false } }, 2);
  for (let from = 1; from < 60; from += 10) {
    submitJobsWithOwnImages(cluster, from, 8, 6);
    maxConcurrentFetches(cluster, from, 8);
  }
  submitJobsWithOwnImages(cluster, 71, 8, 6);
  assert.equal(maxConcurrentFetches(cluster, 71, 8), 4);
});

// Next to any other fetch, that of a small image takes many times as long as alone.
test('a task with a small image does not wait for a machine without fetches', () => {
  const cluster = readyCluster({ capacity: 1, fetches: { gbPerS: 1, shared: true } }, 1);
  submitJobsWithOwnImages(cluster, 1, 1, 4);
  cluster.run(1500);
  submitJobsWithOwnImages(cluster, 2, 1, 0.1);
  cluster.run(2000);
  assert.equal([...cluster.workers.values()][0]!.tasks.length, 2);
});

// Each take-over made machines wait again for room that was there.
test('a successor knows whether fetches share a rate', () => {
  const cluster = readyCluster({ capacity: 2, fetches: { gbPerS: 1, shared: false } }, 2);
  for (let from = 1; from < 60; from += 10) {
    submitJobsWithOwnImages(cluster, from, 8, 6);
    maxConcurrentFetches(cluster, from, 8);
  }
  cluster.run(6000);
  cluster.crash(cluster.leader()!);
  cluster.run(25_000);
  submitJobsWithOwnImages(cluster, 71, 8, 6, [...cluster.processes.running.keys()][0]);
  assert.equal(maxConcurrentFetches(cluster, 71, 8), 4);
});

test('a machine that fetches what it was taken to hold holds it no more', () => {
  const cluster = readyCluster({ capacity: 1, fetches: { gbPerS: 1, shared: true } }, 1);
  submitJobsWithOwnImages(cluster, 1, 1, 20);
  maxConcurrentFetches(cluster, 1, 1);
  const worker = [...cluster.workers.values()][0]!;
  worker.dropImages();
  cluster.submit(job(2, { batch: 1, bundle: 'img-1', image_gb: 20, expected_s: 5 }), 'n-0');
  cluster.run(2500);
  assert.deepEqual(worker.imagesBeingFetched(), ['img-1']);
  // Smaller images would come too late behind that one.
  submitJobsWithOwnImages(cluster, 3, 2, 8);
  assert.equal(maxConcurrentFetches(cluster, 2, 3), 1);
});
