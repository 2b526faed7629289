import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunTimeRatios } from './run-time-ratios.js';

test('a class without completed tasks has the ratio 1', () => {
  assert.equal(new RunTimeRatios().ratioOf('batch'), 1);
});

test('a completed task moves the average of its class by a tenth of the difference', () => {
  const ratios = new RunTimeRatios();
  ratios.recordCompletion('batch', 2);
  assert.ok(Math.abs(ratios.ratioOf('batch') - 1.1) < 1e-9);
  assert.equal(ratios.ratioOf('other'), 1);
});

test('the ratio of a single task is capped at 10', () => {
  const ratios = new RunTimeRatios();
  ratios.recordCompletion('batch', 1000);
  assert.ok(Math.abs(ratios.ratioOf('batch') - 1.9) < 1e-9);
});

test('restored ratios replace the averages of their classes', () => {
  const ratios = new RunTimeRatios();
  ratios.restore('batch', 1.5);
  assert.equal(ratios.ratioOf('batch'), 1.5);
  assert.deepEqual(ratios.entries(), [['batch', 1.5]]);
});
