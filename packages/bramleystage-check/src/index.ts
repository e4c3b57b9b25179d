/** Model checks and history checks, as functions. */

export const checkedSpecifications: readonly string[] = [];
