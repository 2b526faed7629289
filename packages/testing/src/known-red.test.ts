import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KnownRedError, judge, parseKnownRed } from './known-red.js';

const LINE = 'a test | its cause | issue 1';

test('only listed failures are passed over, and a listed test that passes is not', () => {
  const known = parseKnownRed(`${LINE}\nanother | cause | issue 2\n`);
  const verdict = judge(known, new Set(['a test', 'a third']));
  assert.deepEqual(verdict.unexpected, ['a third']);
  assert.deepEqual(
    verdict.expected.map((red) => red.test),
    ['a test'],
  );
  assert.deepEqual(
    verdict.outdated.map((red) => red.test),
    ['another'],
  );
});

test('a list that is too long or lacks a cause is refused', () => {
  assert.throws(() => parseKnownRed(`${LINE}\n`.repeat(4)), KnownRedError);
  assert.throws(() => parseKnownRed('a test | | issue 1'), KnownRedError);
  assert.throws(() => parseKnownRed('a test'), KnownRedError);
  assert.deepEqual(parseKnownRed('\n'), []);
});
