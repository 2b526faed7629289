/** The state owner of a node, and the ports through which it is driven. */
export * from './runtime/ports.js';
export * from './controller.js';
export * from './runtime/stats.js';
export type { Environment } from './runtime/runtime.js';
export * from './runtime/sockets.js';
export { cancelLimitProblem as whyTooShort } from './leadership/freshness.js';
