/**
 * Value types shared by all parts: identities, requests, refusals and the published list.
 */
package io.mulberrylift.core.model;
