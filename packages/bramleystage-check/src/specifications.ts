/**
 * Registers the specifications that `npm run check` explores. To add one, export
 * a `Specification` from a file of its own and list it here.
 */
import {claimSpecification} from './claim-specification.js';
import {createExplorer} from './explorer.js';
import {fenceSpecification} from './fence-specification.js';
import {foldSpecification} from './fold-specification.js';
import {leaseSpecification} from './lease-specification.js';
import {requestSpecification} from './request-specification.js';
import type {AnySpecification} from './specification.js';

export const specifications: readonly AnySpecification[] = [
	createExplorer(requestSpecification),
	createExplorer(fenceSpecification),
	createExplorer(foldSpecification),
	createExplorer(leaseSpecification),
	createExplorer(claimSpecification),
];
