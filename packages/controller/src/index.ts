/** The state owner of a node, and the types through which its process uses it. */
export * from './runtime/ports.js';
export * from './controller.js';
export * from './runtime/stats.js';
export * from './runtime/sockets.js';
export { Authority, type TermKnowledge, type StartTarget } from './authority/authority.js';
export type { Decision } from './authority/decision.js';
export { Runtime, type Environment } from './runtime/runtime.js';
export { cancellationLimitProblem } from './leadership/freshness.js';
